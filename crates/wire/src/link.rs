//! Link between hosts: one stream of frames in each direction, encoded in postcard over gRPC.

use bytes::{Buf, BufMut};
use mangogw_model::{HostId, Incarnation};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::marker::PhantomData;
use tonic::Status;
use tonic::codec::{BufferSettings, Codec, DecodeBuf, Decoder, EncodeBuf, Encoder};

/// Version of the messages that this build writes.
pub const PROTOCOL_VERSION: u16 = 1;
/// Maximum size of a frame.
pub const MAX_FRAME_BYTES: usize = 32 * 1024 * 1024;
/// Encoded bytes that are buffered before they are written to the stream.
const WRITE_BUFFER_BYTES: usize = 64 * 1024;

/// Message between hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// Protocol version of the message.
    pub version: u16,
    /// Cluster of the sender; receivers refuse frames of another cluster.
    pub cluster: String,
    /// Host that sent the frame.
    pub from: HostId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Message in the encoding of `version`.
    pub body: Vec<u8>,
}

/// Reply at the end of a stream of frames.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// Number of frames that the receiver accepted.
    pub accepted: u64,
}

impl Frame {
    /// Returns true if a host that writes `version` can read this frame, which holds for frames of the same version,
    /// the one before and the one after.
    ///
    /// ```
    /// use mangogw_model::{HostId, Incarnation};
    /// use mangogw_wire::link::{Frame, PROTOCOL_VERSION};
    ///
    /// let frame = Frame {
    ///     version: PROTOCOL_VERSION + 1,
    ///     cluster: "c".to_owned(),
    ///     from: HostId(1),
    ///     incarnation: Incarnation(1),
    ///     body: Vec::new(),
    /// };
    /// assert!(frame.is_readable_by(PROTOCOL_VERSION));
    /// assert!(!frame.is_readable_by(PROTOCOL_VERSION + 3));
    /// ```
    pub const fn is_readable_by(&self, version: u16) -> bool {
        self.version.abs_diff(version) <= 1
    }
}

/// Codec that encodes gRPC messages in postcard.
#[derive(Debug)]
pub struct PostcardCodec<T, U> {
    marker: PhantomData<(T, U)>,
}

impl<T, U> Default for PostcardCodec<T, U> {
    fn default() -> Self {
        Self { marker: PhantomData }
    }
}

/// Encoder for messages of type `T`.
#[derive(Debug)]
pub struct PostcardEncoder<T> {
    marker: PhantomData<T>,
}

/// Decoder for messages of type `U`.
#[derive(Debug)]
pub struct PostcardDecoder<U> {
    marker: PhantomData<U>,
}

impl<T, U> Codec for PostcardCodec<T, U>
where
    T: Serialize + Send + 'static,
    U: DeserializeOwned + Send + 'static,
{
    type Encode = T;
    type Decode = U;
    type Encoder = PostcardEncoder<T>;
    type Decoder = PostcardDecoder<U>;

    fn encoder(&mut self) -> Self::Encoder {
        PostcardEncoder { marker: PhantomData }
    }

    fn decoder(&mut self) -> Self::Decoder {
        PostcardDecoder { marker: PhantomData }
    }
}

impl<T: Serialize> Encoder for PostcardEncoder<T> {
    type Item = T;
    type Error = Status;

    fn encode(&mut self, item: T, dst: &mut EncodeBuf<'_>) -> Result<(), Status> {
        let bytes = postcard::to_stdvec(&item).map_err(|error| Status::internal(error.to_string()))?;
        dst.put_slice(&bytes);
        Ok(())
    }

    fn buffer_settings(&self) -> BufferSettings {
        BufferSettings::new(WRITE_BUFFER_BYTES / 8, WRITE_BUFFER_BYTES)
    }
}

impl<U: DeserializeOwned> Decoder for PostcardDecoder<U> {
    type Item = U;
    type Error = Status;

    fn decode(&mut self, src: &mut DecodeBuf<'_>) -> Result<Option<U>, Status> {
        let bytes = src.copy_to_bytes(src.remaining());
        postcard::from_bytes(&bytes).map(Some).map_err(|error| Status::invalid_argument(error.to_string()))
    }
}
