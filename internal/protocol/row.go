package protocol

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

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

// Row is sent as an array with coarse units, since hosts send many rows every second. What seldom changes is left out
// of brief rows.
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
	Rest        *rowRest
}

type rowRest struct {
	_             struct{} `cbor:",toarray"`
	CapacityBytes int64
	BytesPerToken int64
	Models        []string
	PrefillRate   float32
	DecodeRate    float32
}

// MarshalCBOR encodes the row.
func (r Row) MarshalCBOR() ([]byte, error) {
	a := rowArray{
		Server: r.Server, Scheduler: r.Scheduler, Revision: r.Revision,
		WaitMS: millis(r.Wait), BacklogMS: millis(r.Backlog), AgeMS: millis(r.Age),
		FreeUnits: units(r.FreeBytes, bytesPerUnit), QueuedUnits: units(r.QueuedTokens+tokensPerUnit-1, tokensPerUnit),
		Running: uint16(min(r.Running, 1<<16-1)), Flags: r.flags(),
		LongDemand: uint32(r.LongDemand), ShortDemand: uint32(r.ShortDemand),
	}
	if !r.Brief {
		a.Rest = &rowRest{
			CapacityBytes: r.CapacityBytes, BytesPerToken: r.BytesPerToken, Models: r.Models,
			PrefillRate: float32(r.PrefillRate), DecodeRate: float32(r.DecodeRate),
		}
	}
	body, err := cbor.Marshal(a)
	return body, errors.WithStack(err)
}

// UnmarshalCBOR decodes a row.
func (r *Row) UnmarshalCBOR(body []byte) error {
	var a rowArray
	if err := cbor.Unmarshal(body, &a); err != nil {
		return errors.WithStack(err)
	}
	*r = Row{
		Server: a.Server, Scheduler: a.Scheduler, Revision: a.Revision, Wait: duration(a.WaitMS),
		Backlog: duration(a.BacklogMS), Age: duration(a.AgeMS), FreeBytes: int64(a.FreeUnits) * bytesPerUnit,
		QueuedTokens: int64(a.QueuedUnits) * tokensPerUnit, Running: int(a.Running),
		Long: a.Flags&flagLong != 0, Leaving: a.Flags&flagLeaving != 0, Unhealthy: a.Flags&flagUnhealthy != 0,
		LongDemand: float64(a.LongDemand), ShortDemand: float64(a.ShortDemand), Brief: a.Rest == nil,
	}
	if a.Rest != nil {
		r.CapacityBytes, r.BytesPerToken, r.Models = a.Rest.CapacityBytes, a.Rest.BytesPerToken, a.Rest.Models
		r.PrefillRate, r.DecodeRate = float64(a.Rest.PrefillRate), float64(a.Rest.DecodeRate)
	}
	return nil
}

// Complete takes what a brief row leaves out from an earlier row of the same backend server.
func (r *Row) Complete(earlier Row) {
	r.CapacityBytes, r.BytesPerToken, r.Models = earlier.CapacityBytes, earlier.BytesPerToken, earlier.Models
	r.PrefillRate, r.DecodeRate = earlier.PrefillRate, earlier.DecodeRate
	r.Brief = false
}

func (r *Row) flags() uint8 {
	var f uint8
	if r.Long {
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

func millis(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), 1<<32-1))
}

func duration(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

func units(value, size int64) uint32 {
	return uint32(min(max(value, 0)/size, 1<<32-1))
}
