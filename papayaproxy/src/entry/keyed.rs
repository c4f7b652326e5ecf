//! The one agent that may run a call under a key.

use super::request::Ask;
use crate::base::code::Code;
use crate::base::name::Name;
use crate::delivery::{Token, codes};
use crate::fleet::Document;
use crate::wire::Secrets;
use std::net::SocketAddr;

/// Where a key was issued.
pub(crate) struct Home {
    pub(crate) upstream: Name,
    pub(crate) agent: SocketAddr,
}

impl Home {
    /// Finds the home of the key of `ask`. It is asked even while it is leaving: it alone knows
    /// whether the key has run.
    ///
    /// # Errors
    /// The key is not authentic, belongs to another caller, or its upstream is gone.
    pub(crate) fn find(ask: &Ask, secrets: &Secrets, document: &Document) -> Result<Self, Code> {
        let text = ask.key.as_deref().ok_or(codes::KEY_NEEDED)?;
        let token = Token::parse(text, secrets)?;
        if *token.workspace() != ask.caller.workspace {
            return Err(codes::KEY_WORKSPACE);
        }
        if !ask.service.is_empty() && *token.service() != ask.service {
            return Err(codes::KEY_SERVICE);
        }
        let upstream = token.upstream().clone();
        let found = document.upstreams.get(&upstream).ok_or(codes::KEY_HOME_UNREACHABLE)?;
        Ok(Self { upstream, agent: found.agent })
    }
}
