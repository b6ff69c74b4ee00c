package link

import (
	"bytes"
	"errors"
	"io"
	"net/rpc"
	"runtime"
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"

	"catkinpoint/wire"
)

// bufferConn is a connection that reads from Reader and writes to Buffer.
type bufferConn struct {
	io.Reader
	bytes.Buffer
}

func (b *bufferConn) Read(p []byte) (int, error) { return b.Reader.Read(p) }

func (b *bufferConn) Close() error { return nil }

func newBufferConn(frames []byte) *bufferConn { return &bufferConn{Reader: bytes.NewReader(frames)} }

func encodeFrames(t testing.TB, write func(c *codec) error) []byte {
	t.Helper()
	var out bufferConn
	if err := write(newCodec(&out)); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// FuzzCodec guards against frames that crash an end of a link or make it
// allocate much more than it has received.
func FuzzCodec(f *testing.F) {
	valid := encodeFrames(f, func(c *codec) error {
		return c.write(&wire.CallHeader{Sequence: 1, Method: "Echo.Prepare"}, &wire.PrepareRequest{Attempt: "a", Body: []byte("body")})
	})
	f.Add(valid)
	f.Add(valid[:len(valid)-1])
	f.Add(append(bytes.Clone(valid), valid...))
	f.Add([]byte{})
	f.Add([]byte{0, 0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add(append([]byte{0}, protowire.AppendVarint(nil, MaxMessageBytes)...))
	f.Add(protowire.AppendVarint(nil, MaxMessageBytes+1))
	f.Add([]byte{2, 0x0a, 0xff, 3, 0x08, 0x01, 0x10})
	f.Fuzz(func(t *testing.T, frames []byte) {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		server := serverCodec{newCodec(newBufferConn(frames))}
		for server.ReadRequestHeader(&rpc.Request{}) == nil {
			if server.ReadRequestBody(&wire.PrepareRequest{}) != nil {
				break
			}
		}
		client := clientCodec{newCodec(newBufferConn(frames)), func() {}}
		for client.ReadResponseHeader(&rpc.Response{}) == nil {
			if client.ReadResponseBody(nil) != nil {
				break
			}
		}
		runtime.ReadMemStats(&after)
		if grown := after.TotalAlloc - before.TotalAlloc; grown > 8<<20+64*uint64(len(frames)) {
			t.Errorf("%d bytes were allocated to read frames of %d bytes", grown, len(frames))
		}
	})
}

// TestCodecLimits guards against truncated or oversized frames that are accepted or
// that return the wrong error.
func TestCodecLimits(t *testing.T) {
	tests := []struct {
		name     string
		frames   []byte
		inHeader bool // the error is expected while reading the header
		want     error
	}{
		{"no input", nil, true, io.EOF},
		{"header truncated in its length", []byte{0x80}, true, io.ErrUnexpectedEOF},
		{"header truncated", []byte{5, 0x08}, true, io.ErrUnexpectedEOF},
		{"header above its limit", protowire.AppendVarint(nil, maxHeaderBytes+1), true, errTooLarge},
		{"no body", []byte{0}, false, io.EOF},
		{"body truncated", []byte{0, 9, 0x08}, false, io.ErrUnexpectedEOF},
		{"largest body truncated", append([]byte{0}, protowire.AppendVarint(nil, MaxMessageBytes)...), false, io.ErrUnexpectedEOF},
		{"body above its limit", append([]byte{0}, protowire.AppendVarint(nil, MaxMessageBytes+1)...), false, errTooLarge},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := serverCodec{newCodec(newBufferConn(test.frames))}
			err := server.ReadRequestHeader(&rpc.Request{})
			if !test.inHeader {
				if err != nil {
					t.Fatalf("header: %v", err)
				}
				err = server.ReadRequestBody(&wire.PrepareRequest{})
			}
			if !errors.Is(err, test.want) {
				t.Errorf("reading the frames: %v, want %v", err, test.want)
			}
		})
	}
}

// TestLongErrorTextIsTruncated guards against an error text above the header limit
// of the peer, which would break all calls of the link.
func TestLongErrorTextIsTruncated(t *testing.T) {
	text := strings.Repeat("é", maxHeaderBytes)
	frames := encodeFrames(t, func(c *codec) error {
		return serverCodec{c}.WriteResponse(&rpc.Response{Seq: 3, ServiceMethod: "Echo.Stop", Error: text}, struct{}{})
	})
	client := clientCodec{newCodec(newBufferConn(frames)), func() {}}
	var response rpc.Response
	if err := client.ReadResponseHeader(&response); err != nil {
		t.Fatal(err)
	}
	if response.Seq != 3 || len(response.Error) < maxErrorBytes/2 || !strings.HasPrefix(text, response.Error) {
		t.Errorf("response has sequence %d and an error of %d bytes, want sequence 3 and a truncated text", response.Seq, len(response.Error))
	}
	if err := client.ReadResponseBody(nil); err != nil {
		t.Error(err)
	}
}
