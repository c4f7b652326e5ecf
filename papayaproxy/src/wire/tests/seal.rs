//! Tests of secrets and seals.

use super::super::error::WireError;
use super::super::seal::{seal, unseal};
use super::super::secret::Secret;
use super::secrets;

#[test]
fn seal_round_trip() {
    let bytes = seal(&secrets(1, None), &(7u32, "heartbeat".to_owned())).unwrap();
    let found: (u32, String) = unseal(&secrets(1, None), &bytes).unwrap();
    assert_eq!(found, (7, "heartbeat".to_owned()));
}

#[test]
fn seal_rolled_key() {
    let bytes = seal(&secrets(1, Some(2)), &7u32).unwrap();
    assert_eq!(unseal::<u32>(&secrets(2, Some(1)), &bytes).unwrap(), 7);
    let refused = unseal::<u32>(&secrets(2, None), &bytes);
    assert!(matches!(refused, Err(WireError::KeyUnknown { id: 1 })));
}

#[test]
fn seal_every_altered_bit() {
    let good = seal(&secrets(1, None), &[1u8, 2, 3]).unwrap();
    for bit in 0..good.len() * 8 {
        let mut bad = good.clone();
        bad[bit / 8] ^= 1 << (bit % 8);
        assert!(unseal::<[u8; 3]>(&secrets(1, None), &bad).is_err(), "bit {bit}");
    }
}

#[test]
fn secret_forms() {
    let hex = "ab".repeat(32);
    assert_eq!(Secret::parse(&format!("3:{hex}")).unwrap().id, 3);
    for bad in ["", "3", "3:ab", "x:00", &format!("300:{hex}"), &format!("3:{}", "zz".repeat(32))] {
        assert!(Secret::parse(bad).is_err(), "{bad}");
    }
}

#[test]
fn secret_debug_hidden() {
    let secret = Secret::new(9, &[7; 32]);
    assert_eq!(format!("{secret:?}"), "Secret(9)");
}
