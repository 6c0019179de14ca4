//! The documents that kept orders name.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::document::EnvironmentDocument;
use crate::ids::DocumentDigest;

/// Keeps each document once, as text and as typed value.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct DocumentStore {
    documents: BTreeMap<DocumentDigest, StoredDocument>,
}

#[derive(Clone, Debug, PartialEq)]
struct StoredDocument {
    text: Arc<str>,
    document: Arc<EnvironmentDocument>,
}

impl DocumentStore {
    pub fn insert(&mut self, text: &str, document: Arc<EnvironmentDocument>) {
        let digest = DocumentDigest::of(text.as_bytes());
        let text = text.into();
        self.documents
            .insert(digest, StoredDocument { text, document });
    }

    pub fn document(&self, digest: DocumentDigest) -> Option<Arc<EnvironmentDocument>> {
        self.documents
            .get(&digest)
            .map(|stored| Arc::clone(&stored.document))
    }

    pub fn text(&self, digest: DocumentDigest) -> Option<Arc<str>> {
        self.documents
            .get(&digest)
            .map(|stored| Arc::clone(&stored.text))
    }

    pub fn texts(&self) -> Vec<String> {
        self.documents
            .values()
            .map(|stored| stored.text.to_string())
            .collect()
    }

    pub fn retain(&mut self, wanted: &BTreeSet<DocumentDigest>) {
        self.documents.retain(|digest, _| wanted.contains(digest));
    }
}
