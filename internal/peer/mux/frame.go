// Package mux carries requests between daemons: protobuf messages on streams of
// yamux connections.
//
// # Usage
//
//	server := mux.NewServer(listener, handler)
//	group.Go(func() error { return server.Run(ctx) })
//	client := mux.NewClient("daemon-1")
//	response, err := client.Call(ctx, "127.0.0.1:7100", request)
//
// Each request has its own stream, so that a slow response does not delay others.
package mux

import (
	"encoding/binary"
	"io"

	"azurehitch"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

const (
	defaultMaxMessage = azurehitch.ByteSize(16 << 20)
	frameHeaderBytes  = 4
	// firstBufferBytes is the size of the buffer before any byte of a message has arrived.
	firstBufferBytes = 4 << 10
)

func writeFrame(w io.Writer, message proto.Message) error {
	encoded, err := proto.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, frameHeaderBytes+len(encoded)), uint32(len(encoded)))
	_, err = w.Write(append(frame, encoded...))
	return errors.Wrap(err, "write message")
}

// readFrame reads a message of at most maxMessage bytes. It allocates memory as the bytes arrive, and
// not at once for the length in the header, because that length may be wrong.
func readFrame(r io.Reader, message proto.Message, maxMessage azurehitch.ByteSize) error {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return errors.Wrap(err, "read message")
	}
	size := int64(binary.BigEndian.Uint32(header[:]))
	if size > int64(maxMessage) {
		return errors.Errorf("message of %d bytes is larger than %d", size, int64(maxMessage))
	}
	encoded, err := readBytes(r, int(size))
	if err != nil {
		return errors.Wrap(err, "read message")
	}
	// Fields of other releases would be copied into the message.
	return errors.Wrap(proto.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(encoded, message), "decode message")
}

// readBytes reads a number of bytes into a buffer that doubles each time that it is full, up to that number.
func readBytes(r io.Reader, size int) ([]byte, error) {
	buffer := make([]byte, min(size, firstBufferBytes))
	for filled := 0; ; {
		n, err := io.ReadFull(r, buffer[filled:])
		if err != nil {
			return nil, err
		}
		if filled += n; filled == size {
			return buffer, nil
		}
		grown := make([]byte, min(size, 2*len(buffer)))
		copy(grown, buffer)
		buffer = grown
	}
}
