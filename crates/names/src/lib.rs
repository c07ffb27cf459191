//! Shared by the programs that run the decisions: the settings from their JSON form, and hashes of names.

use pumicebay_core::settings::Value;
use pumicebay_core::{ReportedLoad, Settings};
use serde_json::Value as Json;

/// Settings give times in microseconds.
pub const NANOS_PER_MICROSECOND: u64 = 1000;
/// Longer times in the settings are cut to a century, so that sums with the clock can't overflow.
const MAX_TIME: u64 = 100 * 365 * 24 * 3600 * 1_000_000_000;

/// JSON pointer of each setting, and its name in the decisions. Times end in `-us` in JSON.
const SETTING_NAMES: &[(&str, &str)] = &[
    ("/clients/marks-retry", "marks_retry"),
    ("/discovery", "discovery"),
    ("/domain/mode", "mode"),
    ("/domain/ordered", "ordered"),
    ("/domain/origin-fall-multiple", "origin_fall_multiple"),
    ("/domain/origin-fall-us", "origin_fall"),
    ("/fleet-size", "fleet"),
    ("/me", "me"),
    ("/payoff-by", "payoff_by"),
    ("/permissions/cancel", "cancel"),
    ("/permissions/max-retry-after-us", "max_pause"),
    ("/permissions/may-probe", "probes"),
    ("/permissions/most-upstream-tries", "most_tries"),
    ("/permissions/retry-after", "pauses"),
    ("/permissions/second-copies", "second_copies"),
    ("/permissions/streams-per-conn", "streams"),
    ("/rules/answer-slack-us", "answer_slack"),
    ("/rules/cold-us", "cold"),
    ("/rules/drain-grace-us", "drain_grace"),
    ("/rules/fall-multiple", "fall_multiple"),
    ("/rules/fall-us", "fall"),
    ("/rules/start-capacity", "start_capacity"),
    ("/objective-mix/nines-part", "nines_part"),
    ("/objective-mix/nines-wanted", "nines_wanted"),
    ("/rules/turn-gap-us", "turn_gap"),
    ("/surplus-payoff", "surplus_payoff"),
    ("/telemetry/via", "reports"),
];

/// The same for each route.
const ROUTE_SETTINGS: &[(&str, &str)] = &[
    ("/dedup-scope", "scope"),
    ("/dropped", "dropped"),
    ("/keep-order", "ordered"),
    ("/latency-objective-us", "objective"),
    ("/late-payoff", "late_payoff"),
    ("/overall-timeout-us", "overall_timeout"),
    ("/payoff", "payoff"),
    ("/stream", "stream"),
    ("/window-us", "window"),
];

/// The same for each tenant.
const TENANT_SETTINGS: &[(&str, &str)] = &[("/quota-per-s", "quota"), ("/share", "share")];

/// Checks the optional settings for their types. Returns the key of the first wrong one, with what was
/// expected and found; None if all are valid.
pub fn invalid_setting(json: &Json) -> Option<String> {
    let type_error = |key: String, expected: &str, value: &Json, valid: bool| {
        (!value.is_null() && !valid).then(|| format!("{key}: expected {expected}, found {value}"))
    };
    let value_at = |pointer: &str| json.pointer(pointer).unwrap_or(&Json::Null);
    let gap = value_at("/rules/turn-gap-us");
    let gap = type_error("rules.turn-gap-us".into(), "microseconds", gap, gap.is_u64());
    let mut nines = ["nines-part", "nines-wanted"].into_iter().filter_map(|name| {
        let value = value_at(&format!("/objective-mix/{name}"));
        let valid = value.as_f64().is_some_and(|value| value >= 0.0);
        type_error(format!("objective-mix.{name}"), "0 or more", value, valid)
    });
    let routes = json.get("routes").and_then(Json::as_array);
    let mut routes = routes.into_iter().flatten().enumerate().filter_map(|(index, route)| {
        let value = route.get("keep-order").unwrap_or(&Json::Null);
        type_error(format!("routes[{index}].keep-order"), "true or false", value, value.is_boolean())
    });
    gap.or_else(|| nines.next()).or_else(|| routes.next())
}

/// Converts settings from JSON. Settings of an unexpected type are left out.
pub fn settings_from_json(json: &Json) -> Settings {
    let mut settings = Settings::default();
    copy(&mut settings, json, SETTING_NAMES, "");
    for (list, name, fields) in [("/routes", "route", ROUTE_SETTINGS), ("/orgs", "tenant", TENANT_SETTINGS)] {
        let members = json.pointer(list).and_then(Json::as_array).map_or(&[][..], |members| members);
        settings.put(format!("{name}s"), Value::Number(members.len() as f64));
        for (at, member) in members.iter().enumerate() {
            copy(&mut settings, member, fields, &format!("{name}.{at}."));
            if name == "route" {
                let repeat = match text_at(member, "/effect") {
                    "repeatable" => "retriable",
                    "by_key" => "deduped",
                    _ => "non_retriable",
                };
                settings.put(format!("route.{at}.repeat"), Value::Text(repeat.into()));
            }
        }
    }
    settings
}

/// Copies the settings of a table, with `prefix` before their names.
fn copy(settings: &mut Settings, json: &Json, table: &[(&str, &str)], prefix: &str) {
    for (pointer, name) in table {
        let value = match json.pointer(pointer) {
            Some(Json::Bool(flag)) => Value::Flag(*flag),
            Some(Json::String(text)) => Value::Text(text.clone()),
            Some(Json::Number(number)) => match number.as_u64() {
                Some(time) if pointer.ends_with("-us") => {
                    Value::Time(time.saturating_mul(NANOS_PER_MICROSECOND).min(MAX_TIME))
                }
                _ => Value::Number(number.as_f64().unwrap_or_default()),
            },
            _ => continue,
        };
        settings.put(format!("{prefix}{name}"), value);
    }
}

/// The text at a JSON pointer; empty if there is none.
pub fn text_at<'a>(json: &'a Json, pointer: &str) -> &'a str {
    json.pointer(pointer).and_then(Json::as_str).unwrap_or_default()
}

/// The load that a column of a load report states, by the column's name; None for a column that does not
/// state a load.
pub fn reported_load(name: &str, count: f64) -> Option<ReportedLoad> {
    match name {
        "concurrent" | "inflight" => Some(ReportedLoad::InFlight(count)),
        "depth" | "queue" => Some(ReportedLoad::Queued(count)),
        _ => None,
    }
}

/// The names in a list of the settings, in the order of the indices that decisions use: the text at pointer
/// `field` of each element, or the element itself if `field` is empty.
pub fn names_at(json: &Json, pointer: &str, field: &str) -> Vec<String> {
    let members = json.pointer(pointer).and_then(Json::as_array).map_or(&[][..], |members| members);
    let name = |member: &Json| match field {
        "" => member.as_str().unwrap_or_default().to_string(),
        _ => text_at(member, field).to_string(),
    };
    members.iter().map(name).collect()
}

/// Hash of an address or key, the same at every proxy (FNV-1a).
pub fn stable_hash(address: &str) -> u64 {
    address
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}
