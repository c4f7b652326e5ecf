//! Finds the agent that issued an idempotency key, the only one that may run calls under it.

use super::request::CheckedRequest;
use crate::base::code::Code;
use crate::base::name::Name;
use crate::delivery::{Token, codes};
use crate::fleet::Document;
use crate::wire::Secrets;
use std::net::SocketAddr;

/// The agent that issued a key, and its upstream.
pub(crate) struct IssuingAgent {
    pub(crate) upstream: Name,
    pub(crate) agent: SocketAddr,
}

impl IssuingAgent {
    /// Finds the agent that issued the key of `request`. A leaving agent is used too: only it knows
    /// whether the key has run.
    ///
    /// # Errors
    /// The key is missing or not authentic, was issued for another workspace or service, or its
    /// upstream is no longer in the document.
    pub(crate) fn find(
        request: &CheckedRequest,
        secrets: &Secrets,
        document: &Document,
    ) -> Result<Self, Code> {
        let text = request.key.as_deref().ok_or(codes::KEY_NEEDED)?;
        let token = Token::parse(text, secrets)?;
        if *token.workspace() != request.caller.workspace {
            return Err(codes::KEY_WORKSPACE);
        }
        if !request.service.is_empty() && *token.service() != request.service {
            return Err(codes::KEY_SERVICE);
        }
        let upstream = token.upstream().clone();
        let upstream_spec = document.upstreams.get(&upstream).ok_or(codes::KEY_HOME_UNREACHABLE)?;
        Ok(Self { upstream, agent: upstream_spec.agent })
    }
}
