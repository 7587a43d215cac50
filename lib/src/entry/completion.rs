//! Parses and checks the body of a completion request.

use bytes::{BufMut, Bytes, BytesMut};

use super::answer::Problem;
use super::json::{Fields, Kind, Shape};
use super::limits::Limits;
use super::route::Completion;
use crate::declaration::Template;
use crate::error::{Code, Failure};
use crate::name::Name;

/// Output tokens of a text completion without `max_tokens`, as the interface defines it.
const DEFAULT_TEXT_TOKENS: u32 = 16;

/// Bytes of text per token, to estimate a prompt's length.
const BYTES_PER_TOKEN: usize = 4;

/// Largest number of choices (`n` or `best_of`) per request.
const MAX_CHOICES: u64 = 128;

/// Fields that engines understand and that would let a caller bypass its template.
const RESERVED_FIELDS: [&str; 4] = [
    "priority",
    "request_id",
    "lora_request",
    "kv_transfer_params",
];

/// The parts of a completion request's body that the layer needs.
#[derive(Debug, PartialEq, Eq)]
pub struct CompletionRequest {
    /// The template that `model` names.
    pub model: Name,
    /// Whether the response is streamed.
    pub stream: bool,
    /// Requested output tokens, for all choices together; none when the body sets no limit.
    pub output_tokens: Option<u64>,
    /// Requested number of choices.
    pub choices: u64,
    /// Estimated length of the prompt, in tokens.
    pub prompt_tokens: u32,
}

impl CompletionRequest {
    /// Parses a request's body.
    ///
    /// # Errors
    ///
    /// [`Code::BadRequest`] with the field that caused it.
    pub fn parse(completion: Completion, body: &[u8]) -> Result<Self, Problem> {
        let fields = Fields::parse(body).map_err(|(line, column)| {
            let detail =
                format!("the body isn't a valid JSON object: line {line}, column {column}");
            Problem::from(Failure::new(Code::BadRequest, detail))
        })?;
        for name in RESERVED_FIELDS {
            if fields.get(name) != Ok(None) {
                return Err(invalid_field(name, "callers can't set this field"));
            }
        }
        let input = match completion {
            Completion::Text => "prompt",
            Completion::Chat => "messages",
        };
        require_input(&fields, input)?;
        let choices = unsigned_field(&fields, "n")?
            .unwrap_or(1)
            .max(unsigned_field(&fields, "best_of")?.unwrap_or(1));
        if choices == 0 || choices > MAX_CHOICES {
            return Err(invalid_field("n", "the number of answers is out of range"));
        }
        Ok(Self {
            model: model_name(&fields)?,
            stream: bool_field(&fields, "stream")?,
            output_tokens: requested_tokens(&fields)?
                .map(|per_choice| per_choice.saturating_mul(choices)),
            choices,
            prompt_tokens: u32::try_from(fields.text_bytes() / BYTES_PER_TOKEN).unwrap_or(u32::MAX),
        })
    }

    /// Returns the limit on output tokens for this request under a template.
    ///
    /// # Errors
    ///
    /// [`Code::TooManyTokens`] when the body requests more than the template allows.
    pub fn allowed_tokens(
        &self,
        completion: Completion,
        template: &Template,
        limits: &Limits,
    ) -> Result<u32, Problem> {
        let limit = template
            .max_output_tokens
            .unwrap_or(limits.default_output_tokens);
        let default = match completion {
            Completion::Text => u64::from(DEFAULT_TEXT_TOKENS).saturating_mul(self.choices),
            Completion::Chat => u64::from(limit),
        };
        let requested = self.output_tokens.unwrap_or(default);
        match u32::try_from(requested) {
            Ok(requested) if requested <= limit => Ok(requested),
            _ => {
                let detail = format!("{requested} tokens asked for; the template allows {limit}");
                Err(Problem {
                    failure: Failure::new(Code::TooManyTokens, detail),
                    param: Some("max_tokens"),
                })
            }
        }
    }

    /// Returns the body to send, with the template's token limit added if the caller set none.
    ///
    /// Without a limit an engine would generate until its context is full, beyond what the template
    /// allows and beyond the cost by which the queue schedules the request.
    #[must_use]
    pub fn with_token_limit(&self, completion: Completion, body: Bytes, allowed: u32) -> Bytes {
        if self.output_tokens.is_some() || completion == Completion::Text {
            return body;
        }
        let per_choice = u64::from(allowed) / self.choices;
        let Some(end) = body.iter().rposition(|byte| *byte == b'}') else {
            return body;
        };
        let field = format!(",\"max_tokens\":{}}}", per_choice.max(1));
        let mut limited = BytesMut::with_capacity(end + field.len());
        limited.put_slice(&body[..end]);
        limited.put_slice(field.as_bytes());
        limited.freeze()
    }
}

fn invalid_field(param: &'static str, detail: &str) -> Problem {
    Problem {
        failure: Failure::new(Code::BadRequest, format!("{param}: {detail}")),
        param: Some(param),
    }
}

/// Finds a field; `null` counts as absent, as in the interface.
fn field<'a>(fields: &'a Fields, name: &'static str) -> Result<Option<&'a Shape>, Problem> {
    match fields.get(name) {
        Ok(Some(shape)) if shape.kind == Kind::Null => Ok(None),
        Ok(shape) => Ok(shape),
        Err(()) => Err(invalid_field(name, "the field is there twice")),
    }
}

/// Checks that the prompt or the messages are there and have the right type.
fn require_input(fields: &Fields, name: &'static str) -> Result<(), Problem> {
    match field(fields, name)?.map(|shape| &shape.kind) {
        Some(Kind::Array) => Ok(()),
        Some(Kind::Text(_)) if name == "prompt" => Ok(()),
        Some(_) => Err(invalid_field(name, "the field has the wrong type")),
        None => Err(invalid_field(name, "the field is missing")),
    }
}

fn model_name(fields: &Fields) -> Result<Name, Problem> {
    match field(fields, "model")?.map(|shape| &shape.kind) {
        Some(Kind::Text(Some(name))) => Ok(Name::from(&**name)),
        Some(Kind::Text(None)) => Err(invalid_field("model", "the name is too long")),
        Some(_) => Err(invalid_field("model", "the field must be text")),
        None => Err(invalid_field("model", "the field is missing")),
    }
}

fn bool_field(fields: &Fields, name: &'static str) -> Result<bool, Problem> {
    match field(fields, name)?.map(|shape| &shape.kind) {
        None => Ok(false),
        Some(Kind::Bool(value)) => Ok(*value),
        Some(_) => Err(invalid_field(name, "the field must be true or false")),
    }
}

fn unsigned_field(fields: &Fields, name: &'static str) -> Result<Option<u64>, Problem> {
    match field(fields, name)?.map(|shape| &shape.kind) {
        None => Ok(None),
        Some(Kind::Unsigned(value)) => Ok(Some(*value)),
        Some(_) => Err(invalid_field(
            name,
            "the field must be a whole number, not negative",
        )),
    }
}

/// Returns the requested tokens per choice; the newer field name takes precedence, as in the
/// interface.
fn requested_tokens(fields: &Fields) -> Result<Option<u64>, Problem> {
    let newer = unsigned_field(fields, "max_completion_tokens")?;
    let older = unsigned_field(fields, "max_tokens")?;
    match newer.or(older) {
        Some(0) => Err(invalid_field("max_tokens", "ask for at least one token")),
        tokens => Ok(tokens),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn parse(body: &str) -> Result<CompletionRequest, (Code, Option<&'static str>)> {
        CompletionRequest::parse(Completion::Chat, body.as_bytes())
            .map_err(|problem| (problem.failure.code, problem.param))
    }

    #[test]
    fn parse_valid_chat() {
        let body = r#"{"model":"t","messages":[{"role":"user","content":"12345678"}],
            "stream":true,"max_completion_tokens":7,"n":2,"stream_options":{"include_usage":true}}"#;
        let request = parse(body).unwrap();
        assert_eq!(&*request.model, "t");
        assert!(request.stream);
        assert_eq!(request.output_tokens, Some(14));
    }

    #[test]
    fn parse_reports_faulty_field() {
        let param = |body| parse(body).unwrap_err().1;
        assert_eq!(param("{"), None);
        assert_eq!(param(r#"{"model":"t"}"#), Some("messages"));
        assert_eq!(param(r#"{"messages":[]}"#), Some("model"));
        assert_eq!(param(r#"{"model":1,"messages":[]}"#), Some("model"));
        assert_eq!(
            param(r#"{"model":"t","model":"u","messages":[]}"#),
            Some("model")
        );
        assert_eq!(
            param(r#"{"model":"t","messages":[],"stream":"yes"}"#),
            Some("stream")
        );
        assert_eq!(
            param(r#"{"model":"t","messages":[],"n":1000000}"#),
            Some("n")
        );
        assert_eq!(
            param(r#"{"model":"t","messages":[],"max_tokens":-1}"#),
            Some("max_tokens")
        );
        assert_eq!(
            param(r#"{"model":"t","messages":[],"priority":0}"#),
            Some("priority")
        );
    }

    #[test]
    fn with_token_limit_chat_without_limit() {
        let body = Bytes::from_static(b"{\"model\":\"t\",\"messages\":[]} \n");
        let request = CompletionRequest::parse(Completion::Chat, &body).unwrap();
        let limited = request.with_token_limit(Completion::Chat, body, 64);
        assert_eq!(
            &limited[..],
            b"{\"model\":\"t\",\"messages\":[],\"max_tokens\":64}"
        );
    }
}
