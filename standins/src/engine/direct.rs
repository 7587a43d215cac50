//! The engine without sockets, for tests on virtual time.

use async_trait::async_trait;
use chivevalve::adapter::Adapter;
use chivevalve::error::{Code, Failure};
use chivevalve::ports::upstream::Status;
use chivevalve::ports::weights::path;
use chivevalve::ports::{CompletionCall, Engine as Border, EngineStatus, Fence, UpstreamResponse};
use futures::StreamExt;
use http::{Response, StatusCode};

use super::{Engine, Refusal};

#[async_trait]
impl Border for Engine {
    async fn run(&self, call: CompletionCall, fence: Fence) -> Result<UpstreamResponse, Failure> {
        let chat = call.path.contains("chat");
        let completion = self
            .complete(&call.id.0, chat, &call.body, fence.token)
            .map_err(|refusal| match refusal.status {
                StatusCode::PRECONDITION_FAILED => Failure::new(Code::NotOwner, refusal.text),
                _ => Failure::new(Code::UpstreamRefused, refusal.text),
            })?;
        let cut = |_| Failure::new(Code::AnswerCut, "the engine broke the answer off");
        let body = completion.body.map(move |piece| piece.map_err(cut));
        Ok(UpstreamResponse {
            head: Response::new(()).into_parts().0,
            body: body.boxed(),
        })
    }

    async fn load(&self, adapter: &Adapter, fence: Fence) -> Result<(), Failure> {
        let name = adapter.engine_name();
        Self::load(self, &name, &path(adapter), fence.token)
            .await
            .map_err(|refusal| order_failure(refusal, Code::LoadFailed))
    }

    async fn unload(&self, adapter: &Adapter, fence: Fence) -> Result<(), Failure> {
        match Self::unload(self, &adapter.engine_name(), fence.token) {
            Err(refusal) if refusal.status != StatusCode::NOT_FOUND => {
                Err(order_failure(refusal, Code::UpstreamRefused))
            }
            _ => Ok(()),
        }
    }

    async fn report(&self) -> Result<EngineStatus, Failure> {
        serde_json::from_slice::<Status>(&self.status())
            .map(EngineStatus::from)
            .map_err(|error| Failure::new(Code::UpstreamError, error.to_string()))
    }
}

fn order_failure(refusal: Refusal, other: Code) -> Failure {
    let code = match refusal.status {
        StatusCode::PRECONDITION_FAILED => Code::NotOwner,
        StatusCode::NOT_FOUND => Code::UnknownAdapter,
        _ => other,
    };
    Failure::new(code, refusal.text)
}
