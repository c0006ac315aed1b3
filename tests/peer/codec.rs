//! Properties of the frame codec.

use bytes::{BufMut, BytesMut};
use comfreychute::ErrorKind;
use comfreychute::peer::{
    CallChunk, CallOpen, ConfigDelta, FrameCodec, HeartbeatBody, PeerFrame, PeerHello, PeerReply,
    PeerRequest, RefusalBody, ResidencyItem, chunk, frame, reply,
};
use proptest::collection::{btree_map, vec};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use tokio_util::codec::{Decoder, Encoder};

fn seeded(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(0x5eed),
        failure_persistence: None,
        ..Config::default()
    }
}

fn text() -> impl Strategy<Value = String> {
    "[a-z0-9@~-]{0,24}"
}

fn item() -> impl Strategy<Value = ResidencyItem> {
    (
        text(),
        any::<u64>(),
        vec(any::<u32>(), 0..4),
        vec(text(), 0..5),
        any::<bool>(),
    )
        .prop_map(|(upstream, epoch, queued, added, is_full)| ResidencyItem {
            upstream,
            epoch,
            queued,
            removed: added.clone(),
            added,
            is_full,
            ..ResidencyItem::default()
        })
}

fn body() -> impl Strategy<Value = frame::Body> {
    prop_oneof![
        (any::<u32>(), text(), any::<u64>(), vec(any::<u8>(), 0..40)).prop_map(
            |(protocol, instance, incarnation, nonce)| frame::Body::Hello(PeerHello {
                protocol,
                instance,
                incarnation,
                nonce,
                ..PeerHello::default()
            })
        ),
        (
            any::<u64>(),
            vec(item(), 0..5),
            btree_map(any::<u64>(), any::<u32>(), 0..5)
        )
            .prop_map(|(sequence, residency, suspects)| frame::Body::Heartbeat(
                HeartbeatBody {
                    sequence,
                    residency,
                    suspects,
                    ..HeartbeatBody::default()
                }
            )),
        (vec(any::<u8>(), 0..3000), text(), any::<u64>()).prop_map(|(body, route, revision)| {
            frame::Body::Open(CallOpen {
                body,
                route,
                revision,
                ..CallOpen::default()
            })
        }),
        (any::<u64>(), text()).prop_map(|(token, text)| frame::Body::Chunk(CallChunk {
            body: Some(chunk::Body::Token(chunk::TokenBody {
                token,
                text,
                ..chunk::TokenBody::default()
            })),
        })),
        text().prop_map(|code| frame::Body::Chunk(CallChunk {
            body: Some(chunk::Body::Refused(RefusalBody {
                code,
                ..RefusalBody::default()
            })),
        })),
        text().prop_map(frame::Body::Cancel),
        Just(frame::Body::Ask(PeerRequest::default())),
        (any::<u64>(), btree_map(text(), text(), 0..8)).prop_map(|(revision, rows)| {
            frame::Body::Reply(PeerReply {
                body: Some(reply::Body::Delta(ConfigDelta {
                    revision,
                    rows,
                    ..ConfigDelta::default()
                })),
            })
        }),
        any::<u32>().prop_map(frame::Body::Credit),
    ]
}

fn peer_frame() -> impl Strategy<Value = PeerFrame> {
    (any::<u64>(), proptest::option::of(body()))
        .prop_map(|(stream, body)| PeerFrame { stream, body })
}

fn encoded(frames: &[PeerFrame]) -> BytesMut {
    let mut codec = FrameCodec::new(FrameCodec::MAX_LEN);
    let mut bytes = BytesMut::new();
    for frame in frames {
        codec
            .encode(frame.clone(), &mut bytes)
            .expect("small frames");
    }
    bytes
}

/// Feeds `pieces` to a codec in order; returns the frames, and whether the bytes were refused.
fn decode<'a>(pieces: impl Iterator<Item = &'a [u8]>, max_len: usize) -> (Vec<PeerFrame>, bool) {
    let mut codec = FrameCodec::new(max_len);
    let (mut buffer, mut frames, mut received) = (BytesMut::new(), Vec::new(), 0);
    for piece in pieces {
        buffer.put_slice(piece);
        received += piece.len();
        loop {
            match codec.decode(&mut buffer) {
                Ok(Some(frame)) => frames.push(frame),
                Ok(None) => break,
                Err(error) => {
                    assert_eq!(error.kind(), ErrorKind::Protocol);
                    return (frames, true);
                }
            }
        }
        // The buffer may double, and grow by one step ahead of received bytes.
        assert!(
            buffer.capacity() <= 2 * received + 2 * 64 * 1024,
            "{} bytes reserved for {received} received",
            buffer.capacity()
        );
    }
    (frames, false)
}

proptest! {
    #![proptest_config(seeded(256))]

    /// Guards against frames that are corrupted or depend on how the bytes are split.
    #[test]
    fn frames_survive_any_split(frames in vec(peer_frame(), 0..6), step in 1_usize..700) {
        let bytes = encoded(&frames);

        let (decoded, is_refused) = decode(bytes.chunks(step), FrameCodec::MAX_LEN);

        prop_assert!(!is_refused);
        prop_assert_eq!(decoded, frames);
    }

    /// Guards against panics and large allocations caused by arbitrary bytes.
    #[test]
    fn arbitrary_bytes_are_refused_or_decoded(
        bytes in vec(any::<u8>(), 0..2000),
        step in 1_usize..300,
        max_len in 0_usize..5_000_000,
    ) {
        decode(bytes.chunks(step), max_len);
    }

    /// Guards against panics and large allocations caused by damaged frames; the length is valid,
    /// so that the damage reaches the message decoder.
    #[test]
    fn damaged_frames_are_refused_or_decoded(
        frame in peer_frame(),
        damage in vec((any::<prop::sample::Index>(), any::<u8>()), 1..8),
        cut in any::<prop::sample::Index>(),
        is_cut in any::<bool>(),
    ) {
        let mut message = encoded(&[frame])[4..].to_vec();
        for (place, byte) in damage {
            if !message.is_empty() {
                let place = place.index(message.len());
                message[place] = byte;
            }
        }
        if is_cut && !message.is_empty() {
            message.truncate(cut.index(message.len()));
        }
        let mut bytes = u32::try_from(message.len()).expect("small").to_be_bytes().to_vec();
        bytes.extend(message);

        decode(bytes.chunks(64), FrameCodec::MAX_LEN);
    }

    /// Guards against a large allocation caused by a length field alone.
    #[test]
    fn length_field_alone_reserves_little(len in any::<u32>(), max_len in any::<usize>()) {
        let limit = max_len.min(FrameCodec::MAX_LEN);

        let (frames, is_refused) = decode([&len.to_be_bytes()[..]].into_iter(), max_len);

        prop_assert_eq!(is_refused, len as usize > limit);
        prop_assert!(frames.len() <= 1);
    }
}

/// Guards against memory amplification: an empty item of 2 encoded bytes takes more than 100 bytes
/// of memory when decoded.
#[test]
fn long_list_of_empty_items_is_refused_before_decoding() {
    let body = HeartbeatBody {
        residency: vec![ResidencyItem::default(); 200_000],
        ..HeartbeatBody::default()
    };
    let bytes = encoded(&[PeerFrame {
        stream: 0,
        body: Some(frame::Body::Heartbeat(body)),
    }]);

    let (frames, is_refused) = decode([bytes.as_ref()].into_iter(), FrameCodec::MAX_LEN);

    assert!(frames.is_empty() && is_refused);
}

/// Guards against a bypass of the limit of one kind: several bodies in one frame are merged.
#[test]
fn second_body_in_a_frame_is_refused() {
    let one = encoded(&[PeerFrame {
        stream: 0,
        body: Some(frame::Body::Cancel("x".to_owned())),
    }])[4..]
        .to_vec();
    let twice = one.repeat(2);
    let mut bytes = u32::try_from(twice.len())
        .expect("small")
        .to_be_bytes()
        .to_vec();
    bytes.extend(twice);

    let (frames, is_refused) = decode([bytes.as_ref()].into_iter(), FrameCodec::MAX_LEN);

    assert!(frames.is_empty() && is_refused);
}

/// Guards against a connection that ends in the middle of a frame without an error.
#[test]
fn end_inside_a_frame_is_an_error() {
    let mut bytes = encoded(&[PeerFrame {
        stream: 300,
        body: None,
    }]);
    bytes.truncate(bytes.len() - 1);

    let end = FrameCodec::new(FrameCodec::MAX_LEN).decode_eof(&mut bytes);

    assert_eq!(end.expect_err("cut off").kind(), ErrorKind::Peer);
}

/// Guards against sending a frame that the other side would refuse, closing the link.
#[test]
fn oversized_frame_is_not_encoded() {
    let frame = PeerFrame {
        stream: 0,
        body: Some(frame::Body::Cancel("x".repeat(100))),
    };

    let encoded = FrameCodec::new(50).encode(frame, &mut BytesMut::new());

    let error = encoded.expect_err("over the limit");
    assert!(
        error.detail().contains("exceeds the limit of 50 bytes"),
        "{error}"
    );
}
