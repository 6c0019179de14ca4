//! The document's JSON Schema, for editors.

use schemars::Schema;
use schemars::schema_for;

use super::EnvironmentDocument;

/// Makes the schema that stands in `docs/schema/environment.json`; the checker goes further.
pub fn schema() -> Schema {
    schema_for!(EnvironmentDocument)
}
