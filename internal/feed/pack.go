package feed

import (
	"bytes"
	"compress/flate"
	"io"
	"math/bits"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/replica"
)

// maxDocumentBytes is the maximum size of a decompressed configuration document or list of replicas.
const maxDocumentBytes = 16 << 20

// packReplicas encodes and compresses a list of replicas, whose IDs alone differ much.
func packReplicas(replicas []replica.Replica) []byte {
	// No error is possible: all fields can be encoded.
	data, _ := cbor.Marshal(replicas)
	return compress(data)
}

// unpackReplicas reverses packReplicas. It returns an error if the data are damaged or too long.
func unpackReplicas(packed []byte) ([]replica.Replica, error) {
	data, err := decompress(packed)
	if err != nil {
		return nil, err
	}
	var replicas []replica.Replica
	err = cbor.Unmarshal(data, &replicas)
	return replicas, err
}

// compress compresses data with DEFLATE to be sent to peers.
func compress(data []byte) []byte {
	var b bytes.Buffer
	// No error is possible: the level is valid, and writes to a bytes.Buffer don't fail.
	w, _ := flate.NewWriter(&b, flate.BestSpeed)
	_, _ = w.Write(data)
	_ = w.Close()
	return b.Bytes()
}

// decompress reverses compress. It returns an error if the data are damaged or the document exceeds maxDocumentBytes.
func decompress(compressed []byte) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxDocumentBytes+1))
	if err == nil && len(data) > maxDocumentBytes {
		err = errors.Errorf("more than %d bytes after decompression", maxDocumentBytes)
	}
	return data, err
}

// makePatch returns data compressed as a change of base. Unlike DEFLATE, whose window is 32 KB, it finds what a large
// document shares with base wherever it stands.
func makePatch(base, data []byte) []byte {
	// No error is possible: the options are valid.
	w, _ := zstd.NewWriter(nil, zstd.WithEncoderDictRaw(patchDictionary, base), zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(windowSize(len(base)+len(data))), zstd.WithLowerEncoderMem(true),
		zstd.WithEncoderLevel(zstd.SpeedFastest))
	return w.EncodeAll(data, nil)
}

// applyPatch reverses makePatch. It returns an error if the patch is damaged, if it is a change of another document, or
// if the document exceeds maxDocumentBytes.
func applyPatch(base, patch []byte) ([]byte, error) {
	r, err := zstd.NewReader(nil, zstd.WithDecoderDictRaw(patchDictionary, base), zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxDocumentBytes))
	if err != nil {
		return nil, err
	}
	defer r.Close()
	return r.DecodeAll(patch, nil)
}

// patchDictionary is the ID by which a patch names its base.
const patchDictionary = 1

// windowSize returns the smallest window that holds size bytes: a power of 2.
func windowSize(size int) int {
	return max(zstd.MinWindowSize, min(1<<bits.Len(uint(size)), maxDocumentBytes))
}
