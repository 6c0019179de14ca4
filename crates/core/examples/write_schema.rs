//! Prints the document's JSON Schema, to be kept in `docs/schema/environment.json`.

fn main() -> Result<(), serde_json::Error> {
    let schema = quetzalrack_core::document::schema();
    println!("{}", serde_json::to_string_pretty(&schema)?);
    Ok(())
}
