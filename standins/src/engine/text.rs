//! The completions API's questions and answers.

use std::fmt::Write as _;

use bytes::Bytes;
use chivevalve::name::Name;
use futures::StreamExt;
use futures::stream::{self, BoxStream};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::mpsc::UnboundedReceiver;

use super::batch::Token;
use crate::serve::Reset;

/// Tokens of an answer if the request doesn't say.
const DEFAULT_TOKENS: u32 = 16;
/// Bytes of text that make about one token of a prompt.
const TOKEN_BYTES: usize = 4;
/// Event that ends a stream.
const DONE: &[u8] = b"data: [DONE]\n\n";

#[derive(Debug, Deserialize)]
struct Question {
    model: Name,
    #[serde(default)]
    prompt: Value,
    #[serde(default)]
    messages: Vec<Message>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    stream_options: Option<Options>,
    #[serde(default)]
    priority: i64,
}

#[derive(Debug, Deserialize)]
struct Message {
    #[serde(default)]
    content: Value,
}

#[derive(Debug, Deserialize)]
struct Options {
    #[serde(default)]
    include_usage: bool,
}

/// What matters of a question.
#[derive(Debug)]
pub(super) struct Prompt {
    pub(super) model: Name,
    /// The prompt's last word.
    pub(super) mark: Name,
    pub(super) priority: i64,
    pub(super) length: u32,
    pub(super) tokens: u32,
    chat: bool,
    stream: bool,
    usage: bool,
}

impl Prompt {
    pub(super) fn parse(body: &[u8], chat: bool) -> Result<Self, String> {
        let question: Question = serde_json::from_slice(body).map_err(|error| error.to_string())?;
        let text = if chat {
            let last = question.messages.last();
            last.map(|message| flatten(&message.content))
        } else {
            Some(flatten(&question.prompt))
        };
        let text = text.unwrap_or_default();
        let asked = question.max_completion_tokens.or(question.max_tokens);
        Ok(Self {
            model: question.model,
            mark: text.split_whitespace().last().unwrap_or_default().into(),
            priority: question.priority,
            length: u32::try_from(text.len().div_ceil(TOKEN_BYTES)).unwrap_or(u32::MAX),
            tokens: asked.unwrap_or(DEFAULT_TOKENS).max(1),
            chat,
            stream: question.stream,
            usage: question
                .stream_options
                .is_some_and(|options| options.include_usage),
        })
    }
}

/// Joins the texts of a prompt, whichever of the API's forms it has.
fn flatten(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Array(parts) => parts.iter().map(flatten).collect::<Vec<_>>().join(" "),
        Value::Object(fields) => fields.get("text").map(flatten).unwrap_or_default(),
        _ => String::new(),
    }
}

/// Writes one answer.
#[derive(Debug)]
pub(super) struct Writer {
    id: Name,
    prompt: Prompt,
    stamps: bool,
}

impl Writer {
    pub(super) fn new(id: &str, prompt: Prompt, stamps: bool) -> Self {
        Self {
            id: id.into(),
            prompt,
            stamps,
        }
    }

    pub(super) fn stream(&self) -> bool {
        self.prompt.stream
    }

    /// Makes the body out of tokens as they come.
    pub(super) fn body(
        self,
        tokens: UnboundedReceiver<Token>,
    ) -> BoxStream<'static, Result<Bytes, Reset>> {
        if self.prompt.stream {
            return self.events(tokens);
        }
        stream::once(self.answer(tokens)).boxed()
    }

    fn events(self, tokens: UnboundedReceiver<Token>) -> BoxStream<'static, Result<Bytes, Reset>> {
        stream::unfold(Some((self, tokens)), |state| async {
            let (writer, mut tokens) = state?;
            let Some(token) = tokens.recv().await else {
                return Some((Err(Reset), None));
            };
            let mut event = writer.event(token);
            if token.number + 1 < writer.prompt.tokens {
                return Some((Ok(event.into()), Some((writer, tokens))));
            }
            event.extend_from_slice(&writer.end());
            Some((Ok(event.into()), None))
        })
        .boxed()
    }

    async fn answer(self, mut tokens: UnboundedReceiver<Token>) -> Result<Bytes, Reset> {
        let mut text = String::new();
        for _ in 0..self.prompt.tokens {
            let token = tokens.recv().await.ok_or(Reset)?;
            text.push_str(&self.word(token));
        }
        let choice = if self.prompt.chat {
            json!({
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "logprobs": null,
                "finish_reason": "length",
            })
        } else {
            json!({"index": 0, "text": text, "logprobs": null, "finish_reason": "length"})
        };
        let answer = json!({
            "id": self.answer_id(),
            "object": if self.prompt.chat { "chat.completion" } else { "text_completion" },
            "created": 0,
            "model": self.prompt.model,
            "choices": [choice],
            "usage": self.usage(),
        });
        Ok(answer.to_string().into())
    }

    fn event(&self, token: Token) -> Vec<u8> {
        let word = Value::from(self.word(token));
        let finish = if token.number + 1 == self.prompt.tokens {
            "\"length\""
        } else {
            "null"
        };
        let choice = match (self.prompt.chat, token.number) {
            (true, 0) => format!("\"delta\":{{\"role\":\"assistant\",\"content\":{word}}}"),
            (true, _) => format!("\"delta\":{{\"content\":{word}}}"),
            (false, _) => format!("\"text\":{word}"),
        };
        let choice =
            format!("{{\"index\":0,{choice},\"logprobs\":null,\"finish_reason\":{finish}}}");
        self.chunk(&choice, None)
    }

    fn end(&self) -> Vec<u8> {
        let mut end = Vec::new();
        if self.prompt.usage {
            end.extend_from_slice(&self.chunk("", Some(&self.usage())));
        }
        end.extend_from_slice(DONE);
        end
    }

    fn chunk(&self, choices: &str, usage: Option<&Value>) -> Vec<u8> {
        let object = if self.prompt.chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        };
        let mut line = format!(
            "data: {{\"id\":\"{}\",\"object\":\"{object}\",\"created\":0,\"model\":{},\"choices\":[{choices}]",
            self.answer_id(),
            Value::from(&*self.prompt.model),
        );
        if let Some(usage) = usage {
            // Writing to a string can't fail.
            let _ = write!(line, ",\"usage\":{usage}");
        }
        line.push_str("}\n\n");
        line.into_bytes()
    }

    fn answer_id(&self) -> String {
        let kind = if self.prompt.chat { "chatcmpl" } else { "cmpl" };
        format!("{kind}-{}", self.id)
    }

    fn usage(&self) -> Value {
        json!({
            "prompt_tokens": self.prompt.length,
            "completion_tokens": self.prompt.tokens,
            "total_tokens": self.prompt.length.saturating_add(self.prompt.tokens),
        })
    }

    fn word(&self, token: Token) -> String {
        match token.number {
            0 => self.prompt.model.to_string(),
            1 => format!(" {}", self.id),
            2 => format!(" {}", self.prompt.mark),
            _ if self.stamps => format!(" u{}", token.made),
            later => format!(" t{later}"),
        }
    }
}

/// Makes the list of models.
pub(super) fn models<'a>(names: impl Iterator<Item = &'a Name>) -> Bytes {
    let data: Vec<_> = names
        .map(|name| json!({"id": name, "object": "model", "created": 0, "owned_by": "standin"}))
        .collect();
    json!({"object": "list", "data": data}).to_string().into()
}
