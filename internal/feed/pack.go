package feed

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
)

// maxDocumentBytes is the maximum size of a decompressed configuration document.
const maxDocumentBytes = 16 << 20

// compress compresses a document with DEFLATE to be sent to peers.
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
		err = errors.Errorf("configuration document exceeds %d bytes after decompression", maxDocumentBytes)
	}
	return data, err
}
