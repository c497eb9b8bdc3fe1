//! End-to-end tests: entry hosts, upstreams and the command-line tool as separate processes.

mod support;

use rstest::rstest;
use serde_json::{Value, json};
use std::{
    process::Command,
    sync::{Arc, Mutex, Weak},
};
use support::{Answer, Site, SiteOptions, call, output_text, try_call, unix_millis, with_token};

/// Returns a site shared by all tests that do not change it; its processes end with the last test.
fn site() -> Arc<Site> {
    static SITE: Mutex<Weak<Site>> = Mutex::new(Weak::new());
    let mut shared = SITE.lock().unwrap_or_else(|e| e.into_inner());
    shared.upgrade().unwrap_or_else(|| {
        let site = Arc::new(Site::start(SiteOptions::default()));
        *shared = Arc::downgrade(&site);
        site
    })
}

fn completion(model: &str) -> Value {
    json!({"model": model, "prompt": "price the ladder", "max_tokens": 5})
}

fn content(answer: &Answer) -> String {
    answer.json()["choices"][0]["text"].as_str().unwrap_or("").to_owned()
}

#[rstest]
#[case(0)]
#[case(1)]
fn unstreamed_answer(#[case] host: usize) {
    let site = site();
    let answer = site.hosts[host].complete(completion("ladder"), &[]);
    assert_eq!(answer.status, 200, "{}", answer.body);
    assert_eq!(answer.verdict(), Some("ran"));
    assert!(content(&answer).ends_with(" w1 w2 w3 w4"), "{}", answer.body);
}

#[test]
fn answer_of_own_prompt() {
    let site = site();
    let prompts = ["one", "two", "three", "four"];
    let texts = prompts.map(|prompt| {
        let body = json!({"model": "summary", "prompt": prompt, "max_tokens": 2});
        content(&site.hosts[0].complete(body, &[]))
    });
    for (prompt, text) in prompts.iter().zip(&texts) {
        let hash = vanetally_types::hash64(prompt.as_bytes()) as u32;
        assert_eq!(*text, format!("[{hash:08x}] w1"));
    }
}

#[rstest]
#[case(0)]
#[case(1)]
fn streamed_answer(#[case] host: usize) {
    let site = site();
    let mut body = completion("ladder");
    body["stream"] = json!(true);
    let answer = site.hosts[host].complete(body, &[]);
    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("content-type"), Some("text/event-stream"));
    let events: Vec<&str> = answer.body.split_terminator("\n\n").collect();
    assert_eq!(events.len(), 6, "{}", answer.body);
    assert_eq!(events[5], "data: [DONE]");
}

#[test]
fn chat_answer() {
    let site = site();
    let body = json!({"model": "ladder", "messages": [{"role": "user", "content": "hello"}]});
    let url = format!("{}/v1/chat/completions", site.hosts[0].url);
    let answer = call("POST", &url, &with_token(&[]), body.to_string().as_bytes());
    assert_eq!(answer.json()["choices"][0]["message"]["role"], "assistant");
}

#[test]
fn service_call() {
    let site = site();
    let answer = site.hosts[1].service("read/articles?id=7", &[], "wanted");
    assert_eq!(answer.status, 200);
    let body = answer.json();
    assert_eq!(body["path"], "/articles?id=7");
    assert_eq!(body["caller"], "desk");
    assert_eq!(body["body"], "wanted");
}

#[test]
fn model_list() {
    let site = site();
    let url = format!("{}/v1/models", site.hosts[0].url);
    let models = |token: &str| {
        let bearer = format!("Bearer {token}");
        let list = call("GET", &url, &[("Authorization", &bearer)], &[]).json();
        list["data"].as_array().map_or(0, Vec::len)
    };
    assert_eq!(models("desk-token"), 3);
    assert_eq!(models("guest-token"), 0);
}

#[test]
fn repeated_idempotency_key() {
    let site = site();
    let first = site.hosts[0].service("book/offer", &[("Idempotency-Key", "offer-1")], "1 MW");
    let second = site.hosts[1].service("book/offer", &[("Idempotency-Key", "offer-1")], "1 MW");
    assert_eq!((first.status, second.status), (200, 200));
    assert_eq!(first.body, second.body);
    assert_eq!(second.header("x-replayed"), Some("true"));
    assert_eq!(site.service.runs("offer-1"), 1);
}

#[test]
fn reused_idempotency_key() {
    let site = site();
    let key = [("Idempotency-Key", "offer-2")];
    assert_eq!(site.hosts[0].service("book/offer", &key, "1 MW").status, 200);
    let other = site.hosts[1].service("book/offer", &key, "2 MW");
    assert_eq!((other.status, other.code().as_str()), (422, "idempotency_key_reused"));
    assert_eq!(site.service.runs("offer-2"), 1);
}

fn call_first_host(path: &str, headers: &[(&str, &str)], body: &[u8]) -> Answer {
    let site = site();
    call("POST", &format!("{}{path}", site.hosts[0].url), headers, body)
}

const DESK: (&str, &str) = ("Authorization", "Bearer desk-token");
const LADDER: &[u8] = br#"{"model":"ladder","prompt":"x"}"#;

#[rstest]
#[case::no_token("/v1/completions", &[], LADDER, 401, "missing_token")]
#[case::bad_token("/v1/completions", &[("Authorization", "Bearer no")], LADDER, 401, "unknown_token")]
#[case::unknown_model("/v1/completions", &[DESK], br#"{"model":"no","prompt":"x"}"#, 404, "model_not_found")]
#[case::unknown_version("/v1/completions", &[DESK], br#"{"model":"ladder@v9","prompt":"x"}"#, 404, "model_not_found")]
#[case::unknown_service("/services/no/x", &[DESK], b"x", 404, "service_not_found")]
#[case::not_admitted("/v1/completions", &[("Authorization", "Bearer guest-token")], LADDER, 403, "not_admitted")]
#[case::bad_json("/v1/completions", &[DESK], b"{\"model\":", 400, "bad_json")]
#[case::no_object("/v1/completions", &[DESK], b"[1]", 400, "bad_json")]
#[case::no_model("/v1/completions", &[DESK], br#"{"prompt":"x"}"#, 400, "missing_model")]
#[case::no_prompt("/v1/completions", &[DESK], br#"{"model":"ladder"}"#, 400, "missing_prompt")]
#[case::bad_deadline("/v1/completions", &[DESK, ("X-Deadline", "soon")], LADDER, 400, "bad_deadline")]
#[case::far_deadline("/v1/completions", &[DESK, ("X-Deadline", "99999999999999")], LADDER, 400, "bad_deadline")]
#[case::past_deadline("/v1/completions", &[DESK, ("X-Deadline", "1000")], LADDER, 408, "deadline_passed")]
#[case::missing_id("/services/book/offer", &[DESK], b"x", 400, "missing_idempotency_key")]
#[case::marked_once("/services/read/x", &[DESK, ("X-Once-Only", "true")], b"x", 400, "missing_idempotency_key")]
#[case::empty_id("/services/book/offer", &[DESK, ("Idempotency-Key", "")], b"x", 400, "bad_idempotency_key")]
#[case::unknown_path("/v2/things", &[DESK], b"x", 404, "unknown_path")]
fn bad_input(
    #[case] path: &str,
    #[case] headers: &[(&str, &str)],
    #[case] body: &[u8],
    #[case] status: u16,
    #[case] code: &str,
) {
    let answer = call_first_host(path, headers, body);
    assert_eq!((answer.status, answer.code().as_str()), (status, code), "{}", answer.body);
    assert_eq!(answer.verdict(), Some("not-run"));
}

#[test]
fn large_body() {
    let body = vec![b'x'; 1_200_000];
    let answer = call_first_host("/v1/completions", &[DESK], &body);
    assert_eq!((answer.status, answer.code().as_str()), (413, "body_too_large"));
    assert_eq!(answer.verdict(), Some("not-run"));
}

#[test]
fn unmeetable_deadline() {
    let site = site();
    // No runner has room for this many tokens before the deadline passes.
    let soon = (unix_millis() + 400).to_string();
    let body = json!({"model": "ladder", "prompt": "x", "max_tokens": 90_000});
    let answer = site.hosts[0].complete(body, &[("X-Deadline", &soon)]);
    assert!(answer.status >= 500, "{}", answer.body);
    assert_eq!(answer.verdict(), Some("may-have-run"));
}

#[test]
fn health_checks() {
    let site = site();
    for path in ["/healthz", "/readyz"] {
        for base in [&site.hosts[0].url, &site.hosts[0].admin] {
            assert_eq!(call("GET", &format!("{base}{path}"), &[], &[]).status, 200, "{base}{path}");
        }
    }
    let metrics = call("GET", &format!("{}/metrics", site.hosts[0].admin), &[], &[]).body;
    assert!(metrics.contains("vanetally_requests_total"), "{metrics}");
}

#[test]
fn state_dump() {
    let site = site();
    let admin = site.hosts[0].admin.trim_start_matches("http://");
    let json = site.tool(&["state", admin, "--json"]);
    let state: Value = serde_json::from_slice(&json.stdout).expect("JSON");
    assert_eq!(state["host"]["name"], "entry-1");
    let table = output_text(&site.tool(&["state", admin]));
    assert!(table.contains("runner-1"), "{table}");
    let output = format!("{state}{table}{}", site.log_of(0));
    for secret in ["desk-token", "test-credential", "test-link-key"] {
        assert!(!output.contains(secret), "{secret} is shown");
    }
}

#[test]
fn memory_limit_kept() {
    let site = site();
    for model in site.model_names() {
        assert_eq!(site.hosts[0].complete(completion(&model), &[]).status, 200);
    }
    assert_eq!(site.overcommits(), 0);
}

#[test]
fn unauthenticated_link() {
    let site = site();
    let (host, _) =
        site.hosts[0].url.trim_start_matches("http://").split_once(':').expect("a port");
    let answer = try_call("GET", &format!("http://{host}:8002/link"), &[], &[]);
    assert!(answer.map_or(true, |a| a.status >= 400));
}

fn check_settings(settings: &str) -> (i32, String) {
    let dir = tempfile::tempdir().expect("a directory");
    let path = dir.path().join("settings.json");
    std::fs::write(&path, settings).expect("written");
    let output = Command::new(env!("CARGO_BIN_EXE_vanetallyd"))
        .args(["--check", "--settings"])
        .arg(&path)
        .output()
        .expect("the daemon runs");
    (output.status.code().unwrap_or(-1), output_text(&output))
}

const VALID_SETTINGS: &str = r#"{
  // where it is
  "host": "entry-1", "domain": "a",
  "listen": "127.0.0.1:8000", "admin": "127.0.0.1:8001", "peer": "127.0.0.1:8002",
  "platform": "http://127.0.0.1:7000", "credential": "c", "link_key": "0123456789abcdef",
  "timing": {"poll": "500ms"}
}"#;

#[test]
fn valid_settings() {
    let (code, text) = check_settings(VALID_SETTINGS);
    assert_eq!(code, 0, "{text}");
}

#[rstest]
#[case::unknown_key("\"domain\"", "\"domian\"", "settings.json:3", "domian")]
#[case::wrong_unit("500ms", "500", "settings.json:6", "timing.poll")]
#[case::bad_address("127.0.0.1:8000", "localhost", "settings.json:4", "listen")]
#[case::short_key("0123456789abcdef", "short", "settings.json", "link_key")]
fn invalid_settings(#[case] old: &str, #[case] new: &str, #[case] place: &str, #[case] key: &str) {
    let (code, text) = check_settings(&VALID_SETTINGS.replace(old, new));
    assert_eq!(code, 2, "{text}");
    assert!(text.contains(place) && text.contains(key), "{text}");
}

#[rstest]
#[case(&["--help"], 0)]
#[case(&["--version"], 0)]
#[case(&["nonsense"], 2)]
#[case(&["check", "/nonexistent"], 2)]
fn tool_exit_codes(#[case] args: &[&str], #[case] code: i32) {
    let output = Command::new(env!("CARGO_BIN_EXE_vanetally")).args(args).output().expect("runs");
    assert_eq!(output.status.code(), Some(code), "{}", output_text(&output));
}

#[test]
fn invalid_catalog() {
    let site = site();
    let mut catalog = site.catalog.clone();
    catalog["models"][0]["versions"][0]["size"] = json!("900GiB");
    catalog["runners"][0]["url"] = json!("http://example.org");
    let output = site.apply(&catalog, &[]);
    let text = output_text(&output);
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(text.contains("ladder@v1") && text.contains("runner-1"), "{text}");
}
