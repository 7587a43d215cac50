//! Attempts that a peer's owner runs, seen from the node that forwards them.

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
use crate::ports::UpstreamResponse;
use crate::runner::{Attempt, Runner};
use crate::schema::peer::{Down, Up, down, up};

/// How long a stream may take to close after the peer's last word; its caller waits meanwhile.
const CLOSE: Millis = Millis(250);

/// Runs attempts at one peer.
#[derive(Debug)]
pub(super) struct Forwarder {
    pub(super) link: Arc<Link>,
    pub(super) clock: Arc<dyn Clock>,
}

#[async_trait]
impl Runner for Forwarder {
    async fn run(&self, attempt: Attempt) -> Result<UpstreamResponse, Failure> {
        let way = self.link.way()?;
        let mut client = way.client();
        let up = stream::iter(messages(&attempt, &*self.clock));
        // Dropping this future or the answer resets the stream, and the peer cancels.
        let begun = async {
            let failed = |status| self.link.failed(&status);
            let mut down = client.forward(up).await.map_err(failed)?.into_inner();
            let first = down.message().await.map_err(failed)?;
            Ok((first, down))
        };
        let again = attempt.ticket.idempotent;
        let (first, mut down) = self.link.answer(&way, again, begun).await?;
        match first {
            Some(Down {
                part: Some(down::Part::Head(head)),
            }) => {
                self.link.answered();
                Ok(UpstreamResponse {
                    head: wire::response(&head)?,
                    body: body(down),
                })
            }
            Some(Down {
                part: Some(down::Part::End(end)),
            }) => {
                self.link.answered();
                finish(&mut down).await;
                Err(wire::ended(end).err().unwrap_or_else(|| lost("it ended")))
            }
            _ => Err(lost("it didn't begin")),
        }
    }
}

fn messages(attempt: &Attempt, clock: &dyn Clock) -> Vec<Up> {
    let head = up::Part::Head(wire::head(attempt, clock.now()));
    let body = wire::body(&attempt.work).clone();
    let mut parts = vec![head];
    parts.extend(wire::cut(body).map(up::Part::Body));
    parts.push(up::Part::End(true));
    let whole = |part| Up { part: Some(part) };
    parts.into_iter().map(whole).collect()
}

/// Returns the pieces of an answer; only the peer's own word makes it whole.
fn body(down: Streaming<Down>) -> BoxStream<'static, Result<Bytes, Failure>> {
    let pieces = stream::try_unfold(down, |mut down| async move {
        match down.message().await {
            Ok(Some(Down {
                part: Some(down::Part::Data(piece)),
            })) => Ok(Some((piece, down))),
            Ok(Some(Down {
                part: Some(down::Part::End(end)),
            })) => {
                finish(&mut down).await;
                wire::ended(end).map(|()| None)
            }
            Ok(_) => Err(lost("it ended early")),
            Err(status) => Err(lost(&format!("{:?}", status.code()))),
        }
    });
    pieces.into_stream().boxed()
}

/// Reads past the last message, so that the stream closes instead of being reset.
async fn finish(down: &mut Streaming<Down>) {
    // What the end said stands, even if the connection breaks right after it, or the
    // peer pauses; the caller waits meanwhile.
    let _ = tokio::time::timeout(CLOSE.duration(), down.message()).await;
}

fn lost(detail: &str) -> Failure {
    Failure::new(Code::PeerLost, format!("the peer's answer broke: {detail}"))
}
