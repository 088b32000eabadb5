// Package mux carries requests between daemons: protobuf messages on streams of
// yamux connections.
//
// # Usage
//
//	server := mux.NewServer(listener, handler, clock)
//	group.Go(func() error { return server.Run(ctx) })
//	client := mux.NewClient("daemon-1")
//	response, err := client.Call(ctx, "127.0.0.1:7100", request)
//
// Each request has a stream of its own, so that a slow answer holds up no other.
package mux

import (
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

const (
	maxFrameBytes    = 16 << 20
	frameHeaderBytes = 4
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

func readFrame(r io.Reader, message proto.Message) error {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return errors.Wrap(err, "read message")
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxFrameBytes {
		return errors.Errorf("message of %d bytes is larger than %d", size, maxFrameBytes)
	}
	encoded := make([]byte, size)
	if _, err := io.ReadFull(r, encoded); err != nil {
		return errors.Wrap(err, "read message")
	}
	return errors.Wrap(proto.Unmarshal(encoded, message), "decode message")
}
