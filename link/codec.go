package link

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/rpc"
	"strings"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"catkinpoint/wire"
)

// MaxMessageBytes is the largest message that a link carries, in bytes.
const MaxMessageBytes = 80 << 20

const (
	// maxHeaderBytes limits the size of a header. The error text in it is truncated
	// to maxErrorBytes, so that the header stays below the limit.
	maxHeaderBytes = 64 << 10
	maxErrorBytes  = 16 << 10
	// maxInitialAllocation limits the bytes that are allocated for a frame before
	// any of it has arrived, whatever length it announces.
	maxInitialAllocation = 1 << 20
)

var errTooLarge = Error.New("frame beyond the size limit")

// codec reads and writes requests and responses, each as a frame with a header
// and a frame with a body. Both ends of a link use it.
type codec struct {
	conn   io.Closer
	reader *bufio.Reader
	writer *bufio.Writer
	header wire.CallHeader // the header that was read last
}

func newCodec(conn io.ReadWriteCloser) *codec {
	return &codec{conn: conn, reader: bufio.NewReader(conn), writer: bufio.NewWriter(conn)}
}

func (c *codec) write(header *wire.CallHeader, body any) error {
	message, ok := body.(proto.Message)
	if !ok {
		// For a response with an error, net/rpc passes a placeholder as its body.
		message = &wire.Ping{}
	}
	if _, err := protodelim.MarshalTo(c.writer, header); err != nil {
		return fmt.Errorf("writing header of %s: %w", header.GetMethod(), err)
	}
	if _, err := protodelim.MarshalTo(c.writer, message); err != nil {
		return fmt.Errorf("writing body of %s: %w", header.GetMethod(), err)
	}
	if err := c.writer.Flush(); err != nil {
		return fmt.Errorf("flushing %s: %w", header.GetMethod(), err)
	}
	return nil
}

// read reads one frame of at most limit bytes. protodelim would allocate the
// announced length at once; this buffer grows with the data that arrives, so
// that a malformed length allocates little. The errors stay unwrapped, because
// net/rpc compares them with io.EOF.
func (c *codec) read(message proto.Message, limit uint64) error {
	size, err := binary.ReadUvarint(c.reader)
	if err != nil {
		return err
	}
	if size > limit {
		return errTooLarge
	}
	var frame bytes.Buffer
	frame.Grow(int(min(size, maxInitialAllocation)))
	if _, err := io.CopyN(&frame, c.reader, int64(size)); err != nil {
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		return err
	}
	return proto.Unmarshal(frame.Bytes(), message)
}

func (c *codec) readHeader() error {
	c.header.Reset()
	return c.read(&c.header, maxHeaderBytes)
}

func (c *codec) readBody(body any) error {
	message, ok := body.(proto.Message)
	if !ok {
		// net/rpc passes nil to discard a body. Any message type does for that, as
		// unknown fields are skipped.
		message = &wire.Ping{}
	}
	return c.read(message, MaxMessageBytes)
}

// Close closes the connection.
func (c *codec) Close() error { return c.conn.Close() }

// clientCodec implements rpc.ClientCodec.
type clientCodec struct {
	*codec
	onPingSent func() // called after each ping that was written
}

// WriteRequest sends one request.
func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	err := c.write(&wire.CallHeader{Sequence: r.Seq, Method: r.ServiceMethod}, body)
	if err == nil && r.ServiceMethod == pingMethod {
		c.onPingSent()
	}
	return err
}

// ReadResponseHeader reads the header of the next response.
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	if err := c.readHeader(); err != nil {
		return err
	}
	r.Seq, r.ServiceMethod, r.Error = c.header.GetSequence(), c.header.GetMethod(), c.header.GetError()
	return nil
}

// ReadResponseBody reads the body that follows the header.
func (c clientCodec) ReadResponseBody(body any) error { return c.readBody(body) }

// serverCodec implements rpc.ServerCodec.
type serverCodec struct{ *codec }

// ReadRequestHeader reads the header of the next request.
func (c serverCodec) ReadRequestHeader(r *rpc.Request) error {
	if err := c.readHeader(); err != nil {
		return err
	}
	r.Seq, r.ServiceMethod = c.header.GetSequence(), c.header.GetMethod()
	return nil
}

// ReadRequestBody reads the body that follows the header.
func (c serverCodec) ReadRequestBody(body any) error { return c.readBody(body) }

// WriteResponse sends one response; a long error text is truncated.
func (c serverCodec) WriteResponse(r *rpc.Response, body any) error {
	text := r.Error
	if len(text) > maxErrorBytes {
		text = strings.ToValidUTF8(text[:maxErrorBytes], "")
	}
	return c.write(&wire.CallHeader{Sequence: r.Seq, Method: r.ServiceMethod, Error: text}, body)
}
