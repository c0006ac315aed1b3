//! The handshake of a link: identifies both instances and proves that they share the secret.
//!
//! The dialling side sends its hello, the accepting side replies with its own hello and proof, and
//! the dialling side sends a second hello with its proof. A proof covers the role, both nonces and
//! the identity of its sender, so that it is not valid on another link or in the other direction.

use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

use super::{FrameCodec, MeshConfig, PeerFrame, PeerHello, PeerIdentity, SharedSecret, frame};
use crate::error::{Error, ErrorKind, Result};
use crate::id::{DomainId, InstanceId};

/// The protocol version of this build; a link needs the same version on both sides.
pub const PROTOCOL_VERSION: u32 = 1;

const NONCE_LEN: usize = 16;
const MAX_NAME_LEN: usize = 128;
const DIALLER: &[u8] = b"dialler";
const ACCEPTOR: &[u8] = b"acceptor";

type HelloFrames = Framed<TcpStream, FrameCodec>;

/// Runs the handshake on a connection that this instance opened.
pub(super) async fn dial(frames: &mut HelloFrames, config: &MeshConfig) -> Result<PeerIdentity> {
    let nonce = new_nonce();
    send(frames, hello(config, nonce.clone(), Vec::new())).await?;
    let theirs = receive(frames).await?;
    let identity = checked_identity(&theirs, config)?;
    check_proof(config.secret.as_ref(), ACCEPTOR, &nonce, &theirs)?;
    let proof = own_proof(config, DIALLER, &theirs.nonce, &nonce);
    send(frames, hello(config, nonce, proof)).await?;
    Ok(identity)
}

/// Runs the handshake on a connection that a peer opened.
pub(super) async fn accept(frames: &mut HelloFrames, config: &MeshConfig) -> Result<PeerIdentity> {
    let first = receive(frames).await?;
    let nonce = new_nonce();
    let identity = match checked_identity(&first, config) {
        Ok(identity) => identity,
        Err(error) => {
            // The hello without proof lets the other side report both versions in its own error.
            send(frames, hello(config, nonce, Vec::new())).await?;
            return Err(error);
        }
    };
    let proof = own_proof(config, ACCEPTOR, &first.nonce, &nonce);
    send(frames, hello(config, nonce.clone(), proof)).await?;
    let second = receive(frames).await?;
    if checked_identity(&second, config)? != identity || second.nonce != first.nonce {
        return Err(protocol_error(
            "the second hello names another instance or nonce".to_owned(),
        ));
    }
    check_proof(config.secret.as_ref(), DIALLER, &nonce, &second)?;
    Ok(identity)
}

fn new_nonce() -> Vec<u8> {
    rand::random::<[u8; NONCE_LEN]>().to_vec()
}

fn hello(config: &MeshConfig, nonce: Vec<u8>, proof: Vec<u8>) -> PeerHello {
    PeerHello {
        protocol: PROTOCOL_VERSION,
        instance: config.instance.as_str().to_owned(),
        incarnation: config.incarnation,
        domain: config.domain.as_str().to_owned(),
        nonce,
        proof,
    }
}

fn own_proof(config: &MeshConfig, role: &[u8], theirs: &[u8], nonce: &[u8]) -> Vec<u8> {
    config.secret.as_ref().map_or_else(Vec::new, |secret| {
        secret.digest(&[
            role,
            theirs,
            nonce,
            config.instance.as_str().as_bytes(),
            config.domain.as_str().as_bytes(),
            &config.incarnation.to_be_bytes(),
        ])
    })
}

fn check_proof(
    secret: Option<&SharedSecret>,
    role: &[u8],
    nonce: &[u8],
    theirs: &PeerHello,
) -> Result<()> {
    let name = &theirs.instance;
    let Some(secret) = secret else {
        return if theirs.proof.is_empty() {
            Ok(())
        } else {
            Err(protocol_error(format!(
                "peer {name:?} uses a shared secret and this instance has none; configure the \
                 same secret on both"
            )))
        };
    };
    if theirs.proof.is_empty() {
        return Err(protocol_error(format!(
            "peer {name:?} gives no proof of the shared secret; configure the same secret on both"
        )));
    }
    let parts = [
        role,
        nonce,
        &theirs.nonce,
        theirs.instance.as_bytes(),
        theirs.domain.as_bytes(),
        &theirs.incarnation.to_be_bytes(),
    ];
    if secret.is_proof(&parts, &theirs.proof) {
        Ok(())
    } else {
        Err(protocol_error(format!(
            "peer {name:?} has another shared secret; configure the same secret on both"
        )))
    }
}

fn checked_identity(theirs: &PeerHello, config: &MeshConfig) -> Result<PeerIdentity> {
    let name = &theirs.instance;
    if theirs.protocol != PROTOCOL_VERSION {
        return Err(protocol_error(format!(
            "peer {name:?} speaks protocol version {}, this instance speaks version \
             {PROTOCOL_VERSION}",
            theirs.protocol
        )));
    }
    let is_name = |text: &str| !text.is_empty() && text.len() <= MAX_NAME_LEN;
    if !is_name(name) || !is_name(&theirs.domain) || theirs.nonce.len() != NONCE_LEN {
        return Err(protocol_error(
            "a hello has an empty or overlong name or a nonce of the wrong length".to_owned(),
        ));
    }
    if name == config.instance.as_str() {
        return Err(protocol_error(format!(
            "a peer uses the name {name:?} of this instance; instance names must be unique"
        )));
    }
    Ok(PeerIdentity {
        instance: InstanceId::from_name(name),
        incarnation: theirs.incarnation,
        domain: DomainId::from_name(&theirs.domain),
    })
}

async fn send(frames: &mut HelloFrames, hello: PeerHello) -> Result<()> {
    frames
        .send(PeerFrame {
            stream: 0,
            body: Some(frame::Body::Hello(hello)),
        })
        .await
}

async fn receive(frames: &mut HelloFrames) -> Result<PeerHello> {
    match frames.next().await.transpose()?.map(|frame| frame.body) {
        Some(Some(frame::Body::Hello(hello))) => Ok(hello),
        Some(_) => Err(protocol_error("the first frame is not a hello".to_owned())),
        None => Err(Error::new(
            ErrorKind::Peer,
            "the peer closed the connection during the handshake",
        )),
    }
}

fn protocol_error(detail: String) -> Error {
    Error::new(ErrorKind::Protocol, detail)
}
