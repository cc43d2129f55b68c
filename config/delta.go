package config

import (
	"bytes"

	"github.com/gravitational/trace"
	"github.com/klauspost/compress/zstd"
)

// zstdMagic starts a compressed envelope; plain JSON starts with a brace.
var zstdMagic = []byte{0x28, 0xb5, 0x2f, 0xfd}

const (
	// maxPlain bounds an envelope when uncompressed, so that a damaged or
	// hostile value cannot fill an entry's memory.
	maxPlain = 32 << 20
	// deltaWindow lets a delta refer to any place of an envelope up to that
	// size; a larger one still gives a right delta, only a longer one.
	deltaWindow = 4 << 20
	dictID      = 1
)

// Compress returns plain as stored in the KV.
func Compress(plain []byte) ([]byte, error) {
	return encode(plain, zstd.WithEncoderLevel(zstd.SpeedFastest))
}

// Plain returns the JSON of a stored envelope, compressed or not.
func Plain(stored []byte) ([]byte, error) {
	if !bytes.HasPrefix(stored, zstdMagic) {
		return stored, nil
	}
	return decode(stored)
}

// Delta returns what turns the JSON old into next: a few hundred bytes for a
// usual change, where the whole is a hundred thousand.
func Delta(old, next []byte) ([]byte, error) {
	return encode(next, zstd.WithEncoderDictRaw(dictID, old), zstd.WithWindowSize(deltaWindow))
}

// Patch applies a Delta to the same old. Applied to anything else it fails:
// a delta carries a checksum of its result.
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
	d, err := zstd.NewReader(nil, append(opts, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxPlain))...)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer d.Close()
	out, err := d.DecodeAll(b, nil)
	return out, trace.Wrap(err)
}
