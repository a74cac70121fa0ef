package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

const (
	maxFrameBytes    = 8 << 20
	readBufferBytes  = 16 << 10
	frameEventPrefix = "event:"
	frameDataPrefix  = "data:"
)

var errFrame = errors.New("not a frame")

// frameReader parses server-sent events; each must name its kind and carry one frame.
type frameReader struct {
	lines *bufio.Reader
}

func newFrameReader(r io.Reader) *frameReader {
	return &frameReader{lines: bufio.NewReaderSize(r, readBufferBytes)}
}

// next returns the next frame, io.EOF at an end between frames, or an error caused by errFrame for a bad one.
func (r *frameReader) next() (string, engineapi.Frame, error) {
	var event string
	var data []byte
	started := false
	for {
		line, err := r.line()
		if err != nil {
			if err == io.EOF && started { //nolint:errorlint // bufio returns io.EOF itself
				err = io.ErrUnexpectedEOF
			}
			return "", engineapi.Frame{}, err
		}
		switch {
		case len(line) == 0 && started:
			f, err := parseFrame(event, data)
			return event, f, err
		case len(line) == 0 || line[0] == ':':
		case event == "" && bytes.HasPrefix(line, []byte(frameEventPrefix)):
			started = true
			event = string(bytes.TrimSpace(line[len(frameEventPrefix):]))
		case data == nil && bytes.HasPrefix(line, []byte(frameDataPrefix)):
			started = true
			data = bytes.TrimSpace(line[len(frameDataPrefix):])
		default:
			return "", engineapi.Frame{}, errors.Wrap(errFrame, "unexpected line")
		}
	}
}

// line returns the next line without its end; a last line without an end is cut off and no line.
func (r *frameReader) line() ([]byte, error) {
	var line []byte
	for {
		part, err := r.lines.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxFrameBytes {
			return nil, errors.Wrap(errFrame, "line too long")
		}
		switch {
		case err == nil:
			return bytes.TrimRight(line, "\r\n"), nil
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(line) > 0:
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
	}
}

func parseFrame(event string, data []byte) (engineapi.Frame, error) {
	var f engineapi.Frame
	switch event {
	case engineapi.FrameToken, engineapi.FrameHeartbeat, engineapi.FrameEnd, engineapi.FrameError:
	default:
		return f, errors.Wrapf(errFrame, "event %.20q", event)
	}
	if err := json.Unmarshal(data, &f); err != nil {
		return f, errors.Wrap(errFrame, err.Error())
	}
	if f.Offset < 0 || f.Tokens < 0 || f.Length < 0 || f.CachedTokens < 0 {
		return f, errors.Wrap(errFrame, "negative number")
	}
	return f, nil
}
