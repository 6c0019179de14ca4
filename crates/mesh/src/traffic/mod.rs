//! How requests wait, are refused, placed and tried again.

pub mod admission;
pub mod choice;
mod key_counter;
pub mod link;
mod not_run;
pub mod owner_wait;
mod owner_word;
pub mod retry;

pub use key_counter::KeyCounter;
pub use not_run::NotRun;
pub use owner_word::OwnerWord;
pub use owner_word::ParseOwnerWordError;
