//! Large messages between hosts, compressed.

use vanetally_fanout::Packed;

/// The keys of a thousand upstreams, as an aggregator sends them to each host that starts.
fn keys() -> Vec<u8> {
    let key = |number: usize| {
        format!(
            r#"{{"key":"servers/i-{number:010x}","service":"llm","address":"10.0.{}.{}:8540","zone":"z{}","models":[{{"name":"model{}","version":1,"adapters":["a{}"]}}],"state":"ready"}}"#,
            number / 250,
            number % 250,
            number % 5,
            number % 300,
            number % 40
        )
    };
    (0..1_000).map(key).collect::<String>().into_bytes()
}

#[test]
fn comes_back() {
    let keys = keys();
    let packed = Packed::try_from_bytes(&keys).unwrap();
    assert_eq!(packed.try_unpack().unwrap(), keys);
}

/// Found by a sweep: after all of 100 hosts were killed, one with 20 Mbit/s had to send the keys of a thousand
/// upstreams to each of nineteen others, and the fleet served again after six seconds.
#[test]
fn small_on_links() {
    let keys = keys();
    let packed = Packed::try_from_bytes(&keys).unwrap();
    assert!(packed.packed_len() * 6 < keys.len(), "{} of {}", packed.packed_len(), keys.len());
}

#[test]
fn bad_bytes_refused() {
    let mut bad = Packed::try_from_bytes(&keys()).unwrap();
    let text = serde_json::to_string(&bad).unwrap();
    let larger = text.replacen("\"size\":", "\"size\":99999", 1);
    bad = serde_json::from_str(&larger).unwrap();
    assert!(bad.try_unpack().is_err(), "a size beyond all bounds");
    let other: Packed = serde_json::from_str(r#"{"size":5,"compressed":[1,2,3]}"#).unwrap();
    assert!(other.try_unpack().is_err());
}
