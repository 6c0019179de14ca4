//! Signing and verifying with shared keys.

use assert_matches::assert_matches;
use quetzalrack_core::security::KeyError;
use quetzalrack_core::security::KeyRing;
use quetzalrack_core::security::KeySettings;
use quetzalrack_core::security::Signature;

const OLD_SECRET: &str = "000102030405060708090a0b0c0d0e0f";
const NEW_SECRET: &str = "f0f1f2f3f4f5f6f7f8f9fafbfcfdfeff";

fn key(id: &str, secret: &str) -> KeySettings {
    KeySettings {
        id: id.to_owned(),
        secret: secret.to_owned(),
    }
}

#[test]
fn known_code() {
    let ring = KeyRing::open(&[key("rfc", &"0b".repeat(20))]).unwrap();
    // The first test vector of RFC 4231.
    assert_eq!(
        hex::encode(ring.sign(b"Hi There").code),
        "b0344c61d8db38535ca8afceaf0bf12b881dc200c9833da726e9376c2e32cff7"
    );
}

#[test]
fn key_rotation() {
    let before = KeyRing::open(&[key("old", OLD_SECRET)]).unwrap();
    let during = KeyRing::open(&[key("new", NEW_SECRET), key("old", OLD_SECRET)]).unwrap();
    let after = KeyRing::open(&[key("new", NEW_SECRET)]).unwrap();
    assert!(during.verify(b"order", &before.sign(b"order")));
    assert!(after.verify(b"order", &during.sign(b"order")));
    assert!(!after.verify(b"order", &before.sign(b"order")));
}

#[test]
fn forged_message() {
    let ring = KeyRing::open(&[key("old", OLD_SECRET)]).unwrap();
    let other_ring = KeyRing::open(&[key("old", NEW_SECRET)]).unwrap();
    let signature = ring.sign(b"zone out");
    assert!(ring.verify(b"zone out", &signature));
    assert!(!ring.verify(b"zone in", &signature));
    assert!(!ring.verify(b"zone out", &other_ring.sign(b"zone out")));
}

#[test]
fn bad_keys() {
    assert_matches!(KeyRing::open(&[]), Err(KeyError::Empty));
    assert_matches!(
        KeyRing::open(&[key("a", OLD_SECRET), key("a", NEW_SECRET)]),
        Err(KeyError::Duplicate(_))
    );
    assert_matches!(
        KeyRing::open(&[key("a", "zz")]),
        Err(KeyError::NotHexadecimal(_))
    );
    assert_matches!(
        KeyRing::open(&[key("a", "0011")]),
        Err(KeyError::TooShort(_))
    );
}

#[test]
fn hidden_secrets() {
    let settings = key("old", OLD_SECRET);
    let ring = KeyRing::open(std::slice::from_ref(&settings)).unwrap();
    assert!(!format!("{settings:?} {ring:?}").contains("0001020304"));
}

#[test]
fn signature_text() {
    let ring = KeyRing::open(&[key("old", OLD_SECRET)]).unwrap();
    let signature = ring.sign(b"order");
    let text = serde_json::to_string(&signature).unwrap();
    assert_eq!(serde_json::from_str::<Signature>(&text).unwrap(), signature);
    assert!(serde_json::from_str::<Signature>(r#"{"key":"old","code":"00"}"#).is_err());
}
