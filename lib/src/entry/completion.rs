//! What a completion's body asks for.

use bytes::{BufMut, Bytes, BytesMut};

use super::answer::Problem;
use super::json::{Fields, Kind, Shape};
use super::limits::Limits;
use super::route::Completion;
use crate::declaration::Template;
use crate::error::{Code, Failure};
use crate::name::Name;

/// Tokens of a text completion that names no number, as the interface defines it.
const TEXT_DEFAULT_TOKENS: u32 = 16;

/// Bytes of text that are taken for a token in an estimate.
const BYTES_PER_TOKEN: usize = 4;

/// Most answers that one request may ask for.
const MAX_CHOICES: u64 = 128;

/// Fields that engines understand and that would let a caller step outside its template.
const RESERVED: [&str; 4] = [
    "priority",
    "request_id",
    "lora_request",
    "kv_transfer_params",
];

/// What the layer must know of a completion.
#[derive(Debug, PartialEq, Eq)]
pub struct CompletionRequest {
    /// The template that `model` names.
    pub model: Name,
    /// Whether the answer is to be streamed.
    pub stream: bool,
    /// Tokens asked for, all choices together; none when the body leaves it open.
    pub output_tokens: Option<u64>,
    /// Answers asked for.
    pub choices: u64,
    /// Estimated length of the prompt.
    pub prompt_tokens: u32,
}

impl CompletionRequest {
    /// Reads a body.
    ///
    /// # Errors
    ///
    /// [`Code::BadRequest`] with the field at fault.
    pub fn parse(completion: Completion, body: &[u8]) -> Result<Self, Problem> {
        let fields = Fields::read(body).map_err(|(line, column)| {
            let detail =
                format!("the body isn't a valid JSON object: line {line}, column {column}");
            Problem::from(Failure::new(Code::BadRequest, detail))
        })?;
        for name in RESERVED {
            if fields.get(name) != Ok(None) {
                return Err(bad(name, "callers can't set this field"));
            }
        }
        let input = match completion {
            Completion::Text => "prompt",
            Completion::Chat => "messages",
        };
        present(&fields, input)?;
        let choices = count(&fields, "n")?
            .unwrap_or(1)
            .max(count(&fields, "best_of")?.unwrap_or(1));
        if choices == 0 || choices > MAX_CHOICES {
            return Err(bad("n", "the number of answers is out of range"));
        }
        Ok(Self {
            model: model(&fields)?,
            stream: flag(&fields, "stream")?,
            output_tokens: output_tokens(&fields)?.map(|each| each.saturating_mul(choices)),
            choices,
            prompt_tokens: u32::try_from(fields.text_bytes() / BYTES_PER_TOKEN).unwrap_or(u32::MAX),
        })
    }

    /// Returns the most tokens that the answer may have under a template.
    ///
    /// # Errors
    ///
    /// [`Code::TooManyTokens`] when the body asks for more than the template allows.
    pub fn allowed_tokens(
        &self,
        completion: Completion,
        template: &Template,
        limits: &Limits,
    ) -> Result<u32, Problem> {
        let most = template
            .max_output_tokens
            .unwrap_or(limits.default_output_tokens);
        let default = match completion {
            Completion::Text => u64::from(TEXT_DEFAULT_TOKENS).saturating_mul(self.choices),
            Completion::Chat => u64::from(most),
        };
        let asked = self.output_tokens.unwrap_or(default);
        match u32::try_from(asked) {
            Ok(asked) if asked <= most => Ok(asked),
            _ => {
                let detail = format!("{asked} tokens asked for; the template allows {most}");
                Err(Problem {
                    failure: Failure::new(Code::TooManyTokens, detail),
                    param: Some("max_tokens"),
                })
            }
        }
    }

    /// Returns the body to send, with the template's bound on tokens if the caller set none.
    ///
    /// Without it an engine would go on to the end of its context, beyond what
    /// the template allows and what the queue reckoned with.
    #[must_use]
    pub fn with_token_limit(&self, completion: Completion, body: Bytes, allowed: u32) -> Bytes {
        if self.output_tokens.is_some() || completion == Completion::Text {
            return body;
        }
        let each = u64::from(allowed) / self.choices;
        let Some(end) = body.iter().rposition(|byte| *byte == b'}') else {
            return body;
        };
        let field = format!(",\"max_tokens\":{}}}", each.max(1));
        let mut bounded = BytesMut::with_capacity(end + field.len());
        bounded.put_slice(&body[..end]);
        bounded.put_slice(field.as_bytes());
        bounded.freeze()
    }
}

fn bad(param: &'static str, detail: &str) -> Problem {
    Problem {
        failure: Failure::new(Code::BadRequest, format!("{param}: {detail}")),
        param: Some(param),
    }
}

fn field<'a>(fields: &'a Fields, name: &'static str) -> Result<Option<&'a Shape>, Problem> {
    match fields.get(name) {
        Ok(Some(shape)) if shape.kind == Kind::Null => Ok(None),
        Ok(shape) => Ok(shape),
        Err(()) => Err(bad(name, "the field is there twice")),
    }
}

fn present(fields: &Fields, name: &'static str) -> Result<(), Problem> {
    match field(fields, name)?.map(|shape| &shape.kind) {
        Some(Kind::Array) => Ok(()),
        Some(Kind::Text(_)) if name == "prompt" => Ok(()),
        Some(_) => Err(bad(name, "the field has the wrong type")),
        None => Err(bad(name, "the field is missing")),
    }
}

fn model(fields: &Fields) -> Result<Name, Problem> {
    match field(fields, "model")?.map(|shape| &shape.kind) {
        Some(Kind::Text(Some(name))) => Ok(Name::from(&**name)),
        Some(Kind::Text(None)) => Err(bad("model", "the name is too long")),
        Some(_) => Err(bad("model", "the field must be text")),
        None => Err(bad("model", "the field is missing")),
    }
}

fn flag(fields: &Fields, name: &'static str) -> Result<bool, Problem> {
    match field(fields, name)?.map(|shape| &shape.kind) {
        None => Ok(false),
        Some(Kind::Bool(value)) => Ok(*value),
        Some(_) => Err(bad(name, "the field must be true or false")),
    }
}

fn count(fields: &Fields, name: &'static str) -> Result<Option<u64>, Problem> {
    match field(fields, name)?.map(|shape| &shape.kind) {
        None => Ok(None),
        Some(Kind::Count(value)) => Ok(Some(*value)),
        Some(_) => Err(bad(name, "the field must be a whole number, not negative")),
    }
}

/// Returns the tokens asked for; the newer of the two names goes first, as in the interface.
fn output_tokens(fields: &Fields) -> Result<Option<u64>, Problem> {
    let newer = count(fields, "max_completion_tokens")?;
    let older = count(fields, "max_tokens")?;
    match newer.or(older) {
        Some(0) => Err(bad("max_tokens", "ask for at least one token")),
        asked => Ok(asked),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(body: &str) -> Result<CompletionRequest, (Code, Option<&'static str>)> {
        CompletionRequest::parse(Completion::Chat, body.as_bytes())
            .map_err(|problem| (problem.failure.code, problem.param))
    }

    #[test]
    fn read_usual() {
        let body = r#"{"model":"t","messages":[{"role":"user","content":"12345678"}],
            "stream":true,"max_completion_tokens":7,"n":2,"stream_options":{"include_usage":true}}"#;
        let asked = read(body).unwrap();
        assert_eq!(&*asked.model, "t");
        assert!(asked.stream);
        assert_eq!(asked.output_tokens, Some(14));
    }

    #[test]
    fn read_mistakes() {
        let param = |body| read(body).unwrap_err().1;
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
    fn bounded_open_chat() {
        let body = Bytes::from_static(b"{\"model\":\"t\",\"messages\":[]} \n");
        let asked = CompletionRequest::parse(Completion::Chat, &body).unwrap();
        let bounded = asked.with_token_limit(Completion::Chat, body, 64);
        assert_eq!(
            &bounded[..],
            b"{\"model\":\"t\",\"messages\":[],\"max_tokens\":64}"
        );
    }
}
