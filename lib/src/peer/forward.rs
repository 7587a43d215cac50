//! Forwards attempts to the peer that owns their upstream.

use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use futures::stream::{self, BoxStream};
use futures::{StreamExt, TryStreamExt};
use tonic::Streaming;

use super::link::Link;
use super::wire;
use crate::clock::{Clock, Millis};
use crate::error::{Code, Failure};
use crate::ports::Answer;
use crate::runner::{Attempt, Runner};
use crate::schema::peer::{Down, Up, down, up};

/// How long to wait for a stream to close after its end message; the caller waits meanwhile.
const CLOSE_TIMEOUT: Millis = Millis(250);

/// Runs attempts through one peer.
#[derive(Debug)]
pub(super) struct Forwarder {
    pub(super) link: Arc<Link>,
    pub(super) clock: Arc<dyn Clock>,
}

#[async_trait]
impl Runner for Forwarder {
    async fn run(&self, attempt: Attempt) -> Result<Answer, Failure> {
        let connection = self.link.connection()?;
        let mut client = connection.client();
        let up = stream::iter(request_messages(&attempt, &*self.clock));
        // Dropping this future or the response resets the stream, and the peer cancels the attempt.
        let call = async {
            let failed = |status| self.link.record_failure(&status);
            let mut down = client.forward(up).await.map_err(failed)?.into_inner();
            let first = down.message().await.map_err(failed)?;
            Ok((first, down))
        };
        let retryable = attempt.ticket.idempotent;
        let (first, mut down) = self
            .link
            .await_response(&connection, retryable, call)
            .await?;
        match first {
            Some(Down {
                part: Some(down::Part::Head(head)),
            }) => {
                self.link.record_response();
                Ok(Answer {
                    head: wire::decode_response_head(&head)?,
                    body: response_body(down),
                })
            }
            Some(Down {
                part: Some(down::Part::End(end)),
            }) => {
                self.link.record_response();
                wait_for_close(&mut down).await;
                Err(wire::decode_end(end)
                    .err()
                    .unwrap_or_else(|| peer_lost("it ended")))
            }
            _ => Err(peer_lost("it didn't begin")),
        }
    }
}

fn request_messages(attempt: &Attempt, clock: &dyn Clock) -> Vec<Up> {
    let head = up::Part::Head(wire::encode_head(attempt, clock.now()));
    let body = wire::body(&attempt.work).clone();
    let mut parts = vec![head];
    parts.extend(wire::split_into_pieces(body).map(up::Part::Body));
    parts.push(up::Part::End(true));
    let message = |part| Up { part: Some(part) };
    parts.into_iter().map(message).collect()
}

/// Returns the body of a response.
///
/// The body is complete only if the peer sends an end message; a stream that closes without
/// one is an error.
fn response_body(down: Streaming<Down>) -> BoxStream<'static, Result<Bytes, Failure>> {
    let pieces = stream::try_unfold(down, |mut down| async move {
        match down.message().await {
            Ok(Some(Down {
                part: Some(down::Part::Data(piece)),
            })) => Ok(Some((piece, down))),
            Ok(Some(Down {
                part: Some(down::Part::End(end)),
            })) => {
                wait_for_close(&mut down).await;
                wire::decode_end(end).map(|()| None)
            }
            Ok(_) => Err(peer_lost("it ended early")),
            Err(status) => Err(peer_lost(&format!("{:?}", status.code()))),
        }
    });
    pieces.into_stream().boxed()
}

/// Reads past the end message, so that the stream closes normally instead of being reset.
async fn wait_for_close(down: &mut Streaming<Down>) {
    // The outcome in the end message holds even if the connection then breaks or the peer
    // pauses. The timeout bounds the wait, because the caller waits meanwhile.
    let _ = tokio::time::timeout(CLOSE_TIMEOUT.duration(), down.message()).await;
}

fn peer_lost(detail: &str) -> Failure {
    Failure::new(Code::PeerLost, format!("the peer's answer broke: {detail}"))
}
