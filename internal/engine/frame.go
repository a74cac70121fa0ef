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
	maxFrameBytes    = 8 << 20 // longest line of a server-sent event
	readBufferBytes  = 16 << 10
	frameEventPrefix = "event:"
	frameDataPrefix  = "data:"
)

var errInvalidFrame = errors.New("invalid frame")

// frameReader reads frames from a stream of server-sent events. Each event must have one event field, which names the
// kind of the frame, and one data field, which holds the frame as JSON.
type frameReader struct {
	lines *bufio.Reader
}

func newFrameReader(r io.Reader) *frameReader {
	return &frameReader{lines: bufio.NewReaderSize(r, readBufferBytes)}
}

// next returns the event name and the content of the next frame. It returns io.EOF if the stream ends between two
// events, io.ErrUnexpectedEOF if it ends within one, and an error that wraps errInvalidFrame if the frame is malformed.
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
			return "", engineapi.Frame{}, errors.Wrap(errInvalidFrame, "unexpected line in server-sent event")
		}
	}
}

// line returns the next line without its line ending. It returns io.ErrUnexpectedEOF if the last line has no line
// ending, since that line is truncated.
func (r *frameReader) line() ([]byte, error) {
	var line []byte
	for {
		chunk, err := r.lines.ReadSlice('\n')
		line = append(line, chunk...)
		if len(line) > maxFrameBytes {
			return nil, errors.Wrap(errInvalidFrame, "line exceeds the size limit")
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
		return f, errors.Wrapf(errInvalidFrame, "unknown event %.20q", event)
	}
	if err := json.Unmarshal(data, &f); err != nil {
		return f, errors.Wrap(errInvalidFrame, err.Error())
	}
	if f.Offset < 0 || f.Tokens < 0 || f.Length < 0 || f.CachedTokens < 0 {
		return f, errors.Wrap(errInvalidFrame, "negative offset, length or token count")
	}
	return f, nil
}
