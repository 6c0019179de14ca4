//! What operators are told, in their language; a missing message does not compile.

mod english;
mod message_code;
mod nepali;
mod order_text;
mod spanish;

pub use message_code::MessageCode;
pub use order_text::order_text;
pub(crate) use order_text::shortened;

use quetzalrack_core::language::Language;
use quetzalrack_core::language::fill;

/// Writes a message after its code, so that operators without a shared language can name it.
pub fn say(language: Language, code: MessageCode, values: &[&str]) -> String {
    let template = match language {
        Language::English => english::template(code),
        Language::Spanish => spanish::template(code),
        Language::Nepali => nepali::template(code),
    };
    format!("{} {}", code.as_str(), fill(template, values))
}
