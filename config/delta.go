package config

import (
	"bytes"

	"github.com/gravitational/trace"
	"github.com/klauspost/compress/zstd"
)

// zstdMagic is the prefix of a compressed envelope; uncompressed JSON starts
// with a brace.
var zstdMagic = []byte{0x28, 0xb5, 0x2f, 0xfd}

const (
	// maxUncompressed limits the uncompressed size of an envelope, so that a
	// corrupt or malicious value cannot exhaust an entry's memory.
	maxUncompressed = 32 << 20
	// deltaWindow lets a delta refer to any offset of an envelope up to this
	// size. A delta of a larger envelope is still correct, but longer.
	deltaWindow = 4 << 20
	dictID      = 1
)

// Compress returns plain in the compressed form stored in the KV.
func Compress(plain []byte) ([]byte, error) {
	return encode(plain, zstd.WithEncoderLevel(zstd.SpeedFastest))
}

// Decompress returns the JSON of a stored envelope, compressed or not.
func Decompress(stored []byte) ([]byte, error) {
	if !bytes.HasPrefix(stored, zstdMagic) {
		return stored, nil
	}
	return decode(stored)
}

// Delta returns a delta from the JSON old to next: a few hundred bytes for a
// typical change, where the whole document is a hundred thousand.
func Delta(old, next []byte) ([]byte, error) {
	return encode(next, zstd.WithEncoderDictRaw(dictID, old), zstd.WithWindowSize(deltaWindow))
}

// Patch applies a delta to the document old that it was made from. Applied to any
// other document it fails rather than return a wrong result, because a delta
// carries a checksum of its result.
func Patch(old, delta []byte) ([]byte, error) {
	return decode(delta, zstd.WithDecoderDictRaw(dictID, old))
}

func encode(b []byte, opts ...zstd.EOption) ([]byte, error) {
	e, err := zstd.NewWriter(nil, append(opts, zstd.WithEncoderConcurrency(1), zstd.WithEncoderCRC(true))...)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer e.Close()
	return e.EncodeAll(b, nil), nil
}

func decode(b []byte, opts ...zstd.DOption) ([]byte, error) {
	d, err := zstd.NewReader(nil, append(opts, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxUncompressed))...)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer d.Close()
	out, err := d.DecodeAll(b, nil)
	return out, trace.Wrap(err)
}
