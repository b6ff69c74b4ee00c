package head

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"catkinpoint/decl"
	"catkinpoint/wire"
)

// Error is the class of all errors of this package.
var Error = errs.Class("head")

// Keys of the store, or their prefixes.
const (
	headKey     = "head"
	partPrefix  = "part/"
	auditPrefix = "audit/"
)

// partCount is the number of buckets into which the objects of a set are hashed.
// The content of a bucket is a part. 64 buckets keep a part far below the largest
// value that the store holds, and let a small change rewrite little.
const partCount = 64

func partOf(key decl.Key) int {
	return int(xxhash.Sum64String(key.Kind+"/"+key.Name) % partCount)
}

func partKey(hash []byte) string {
	return partPrefix + hex.EncodeToString(hash)
}

func auditKey(version int64) string {
	return fmt.Sprintf("%s%012d", auditPrefix, version)
}

// marshal encodes a message deterministically: equal messages must have equal
// hashes.
func marshal(m proto.Message) ([]byte, error) {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, Error.Wrap(fmt.Errorf("encode %s: %w", m.ProtoReflect().Descriptor().Name(), err))
	}
	return b, nil
}

func unmarshal(b []byte, m proto.Message) error {
	if err := proto.Unmarshal(b, m); err != nil {
		return Error.Wrap(fmt.Errorf("decode %s: %w", m.ProtoReflect().Descriptor().Name(), err))
	}
	return nil
}

func hashOf(b []byte) []byte {
	sum := sha256.Sum256(b)
	return sum[:]
}

// part is the content of one bucket with its hash; the hash of an empty bucket
// is nil.
type part struct {
	hash    []byte
	objects []*wire.Object
}

// encodePart sorts the objects by kind and name and returns the bytes of their
// part, or nil if there are none.
func encodePart(objects []*wire.Object) ([]byte, error) {
	if len(objects) == 0 {
		return nil, nil
	}
	slices.SortFunc(objects, func(a, b *wire.Object) int {
		return cmp.Or(cmp.Compare(a.GetKind(), b.GetKind()), cmp.Compare(a.GetName(), b.GetName()))
	})
	return marshal(&wire.Part{Objects: objects})
}

// decodePart decodes a stored part and fails if it does not match its hash.
func decodePart(hash, b []byte) (part, error) {
	if !slices.Equal(hashOf(b), hash) {
		return part{}, Error.New("part %x does not match its hash", hash)
	}
	m := &wire.Part{}
	if err := unmarshal(b, m); err != nil {
		return part{}, err
	}
	return part{hash, m.GetObjects()}, nil
}
