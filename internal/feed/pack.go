package feed

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
)

// maxDocument bounds a configuration document, in bytes.
const maxDocument = 16 << 20

// pack compresses a document for peers.
func pack(data []byte) []byte {
	var b bytes.Buffer
	// The level is valid and a buffer's writes can't fail.
	w, _ := flate.NewWriter(&b, flate.BestSpeed)
	_, _ = w.Write(data)
	_ = w.Close()
	return b.Bytes()
}

// unpack undoes pack.
func unpack(packed []byte) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxDocument+1))
	if err == nil && len(data) > maxDocument {
		err = errors.Errorf("document over %d bytes", maxDocument)
	}
	return data, err
}
