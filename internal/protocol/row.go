package protocol

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Units in which an encoded row counts memory and tokens.
const (
	bytesPerUnit  = 1 << 20
	tokensPerUnit = 1 << 10
)

// Flags of an encoded row.
const (
	flagLong = 1 << iota
	flagLeaving
	flagUnhealthy
)

// rowArray is the encoded form of Row: an array with coarse units, because hosts send many rows every second. Partial
// rows leave out Details, whose fields seldom change. The fields are encoded by position, so their order must not
// change.
type rowArray struct {
	_           struct{} `cbor:",toarray"`
	Server      string
	Scheduler   string
	Revision    uint64
	WaitMS      uint32
	BacklogMS   uint32
	AgeMS       uint32
	FreeUnits   uint32
	QueuedUnits uint32
	Running     uint16
	Flags       uint8
	LongDemand  uint32
	ShortDemand uint32
	Details     *rowDetails
}

// rowDetails holds the fields of a Row that seldom change. They are encoded by position, so their order must not
// change.
type rowDetails struct {
	_             struct{} `cbor:",toarray"`
	CapacityBytes int64
	BytesPerToken int64
	Models        []string
	PrefillRate   float32
	DecodeRate    float32
}

// MarshalCBOR encodes the row as a rowArray. QueuedTokens is rounded up to whole units; FreeBytes, the durations and
// the demands are rounded down.
func (r Row) MarshalCBOR() ([]byte, error) {
	a := rowArray{
		Server: r.Server, Scheduler: r.Scheduler, Revision: r.Revision,
		WaitMS: millis(r.Wait), BacklogMS: millis(r.Backlog), AgeMS: millis(r.Age),
		FreeUnits: units(r.FreeBytes, bytesPerUnit), QueuedUnits: units(r.QueuedTokens+tokensPerUnit-1, tokensPerUnit),
		Running: uint16(min(r.Running, 1<<16-1)), Flags: r.flags(),
		LongDemand: uint32(r.LongDemand), ShortDemand: uint32(r.ShortDemand),
	}
	if !r.Partial {
		a.Details = &rowDetails{
			CapacityBytes: r.CapacityBytes, BytesPerToken: r.BytesPerToken, Models: r.Models,
			PrefillRate: float32(r.PrefillRate), DecodeRate: float32(r.DecodeRate),
		}
	}
	body, err := cbor.Marshal(a)
	return body, errors.WithStack(err)
}

// UnmarshalCBOR decodes a row that MarshalCBOR has encoded.
func (r *Row) UnmarshalCBOR(body []byte) error {
	var a rowArray
	if err := cbor.Unmarshal(body, &a); err != nil {
		return errors.WithStack(err)
	}
	*r = Row{
		Server: a.Server, Scheduler: a.Scheduler, Revision: a.Revision, Wait: duration(a.WaitMS),
		Backlog: duration(a.BacklogMS), Age: duration(a.AgeMS), FreeBytes: int64(a.FreeUnits) * bytesPerUnit,
		QueuedTokens: int64(a.QueuedUnits) * tokensPerUnit, Running: int(a.Running),
		ForLongPrompts: a.Flags&flagLong != 0, Leaving: a.Flags&flagLeaving != 0, Unhealthy: a.Flags&flagUnhealthy != 0,
		LongDemand: float64(a.LongDemand), ShortDemand: float64(a.ShortDemand), Partial: a.Details == nil,
	}
	if a.Details != nil {
		r.CapacityBytes, r.BytesPerToken, r.Models = a.Details.CapacityBytes, a.Details.BytesPerToken, a.Details.Models
		r.PrefillRate, r.DecodeRate = float64(a.Details.PrefillRate), float64(a.Details.DecodeRate)
	}
	return nil
}

// Complete fills the fields that a partial row leaves out from an earlier row of the same backend server.
func (r *Row) Complete(earlier Row) {
	r.CapacityBytes, r.BytesPerToken, r.Models = earlier.CapacityBytes, earlier.BytesPerToken, earlier.Models
	r.PrefillRate, r.DecodeRate = earlier.PrefillRate, earlier.DecodeRate
	r.Partial = false
}

func (r *Row) flags() uint8 {
	var f uint8
	if r.ForLongPrompts {
		f |= flagLong
	}
	if r.Leaving {
		f |= flagLeaving
	}
	if r.Unhealthy {
		f |= flagUnhealthy
	}
	return f
}

// millis converts d to whole milliseconds, limited to the range of uint32.
func millis(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), 1<<32-1))
}

func duration(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// units converts value to whole units of the given size, limited to the range of uint32.
func units(value, size int64) uint32 {
	return uint32(min(max(value, 0)/size, 1<<32-1))
}
