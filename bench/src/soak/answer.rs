//! What an answer's bytes have to be.

use chivevalve_platform_standins::soak::wire;

use super::caller::Call;

/// Notes what is wrong with an answer.
pub fn look(call: &mut Call, body: &[u8]) {
    let Some(status) = call.status else {
        return;
    };
    let wrong = match status {
        200 if !call.sealed => Some(("OwnAnswer", "a success without a server's seal".to_owned())),
        200 if call.ask.adapter.is_some() => stream(call, body),
        200 => plain(call, body),
        // A server's own failure and the promises; anything else is nobody's.
        500 if call.sealed => None,
        408 | 421 | 429 | 502 | 503 | 504 => None,
        400..500 => Some(("Denied", format!("status {status}"))),
        _ => Some((
            "OwnAnswer",
            format!("status {status}, which no server gave"),
        )),
    };
    call.wrong.extend(wrong);
}

fn plain(call: &Call, body: &[u8]) -> Option<(&'static str, String)> {
    let text = String::from_utf8_lossy(body);
    let id = &call.ask.id;
    let own = format!("{id} ");
    let begins = text.starts_with(&own) || own.starts_with(&*text);
    if !begins {
        let start: String = text.chars().take(40).collect();
        return Some(("OwnAnswer", format!("the body begins with {start:?}")));
    }
    let whole = text.ends_with(" end") && text.matches(id.as_str()).count() == 1;
    (call.complete && !whole).then(|| {
        let told = format!("{} bytes look whole and aren't", body.len());
        ("LooksWhole", told)
    })
}

fn stream(call: &mut Call, body: &[u8]) -> Option<(&'static str, String)> {
    let text = String::from_utf8_lossy(body);
    let last = wire::events(&call.ask.id);
    let wanted = call.ask.adapter.clone().unwrap_or_default();
    let mut next = 1;
    if let Some(resumed) = &call.ask.resumed {
        next += resumed.after;
        call.software = Some(resumed.software.clone());
    }
    call.last_event = next - 1;
    let (events, rest) = text.rsplit_once("\n\n").unwrap_or(("", &text));
    for event in events.split("\n\n").filter(|event| !event.is_empty()) {
        let Some((id, data)) = event.split_once('\n') else {
            return Some(("Order", format!("{event:?} is no event")));
        };
        if id != format!("id: {next}") {
            return Some(("Order", format!("{id} where {next} is due")));
        }
        let mut words = data.split(' ').skip(1);
        let (own, adapter, count) = (words.next(), words.next(), words.next());
        if own != Some(&call.ask.id) || count != Some(&format!("{next}/{last}")) {
            return Some(("OwnAnswer", format!("event {next} is {data:?}")));
        }
        let name = adapter.and_then(|adapter| adapter.split('@').next());
        if name != Some(&wanted) {
            return Some(("RightAdapter", format!("{data:?} instead of {wanted}")));
        }
        let software = words.next().unwrap_or_default();
        let began = call.software.get_or_insert_with(|| software.to_owned());
        if began != software {
            let told = format!("event {next} is of {software}, those before it of {began}");
            return Some(("OneSoftware", told));
        }
        call.last_event = next;
        next += 1;
    }
    if call.complete && (next != last + 1 || !rest.is_empty()) {
        let told = format!("it ends in order behind event {} of {last}", next - 1);
        return Some(("LooksWhole", told));
    }
    None
}
