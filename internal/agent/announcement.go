package agent

import (
	"bytes"
	"encoding/json"
	"io"
	"net/netip"

	"github.com/pkg/errors"
)

// Limits of announcements; maxTargetSlots bounds the slots and the connections.
const (
	maxServiceNameBytes = 128
	maxTargetSlots      = 1 << 16
)

// ErrAnnouncement reports an announcement that is malformed or out of range.
var ErrAnnouncement = errors.New("agent: invalid target announcement")

// Announcement is the JSON message in which a target reports its state to its agent every second.
type Announcement struct {
	Service string `json:"service"`
	// Address is the IP address and port on which the target serves requests.
	Address string `json:"address"`
	// Slots is the number of requests that the target processes concurrently, Connections the number
	// of connections that it accepts.
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
	// Leaving is set if the target accepts no new requests.
	Leaving bool `json:"leaving"`
}

// DecodeAnnouncement decodes and validates an announcement. It returns ErrAnnouncement for invalid JSON,
// unknown fields, trailing data and values out of range.
func DecodeAnnouncement(body []byte) (Announcement, error) {
	var decoded Announcement
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&decoded); err != nil {
		return Announcement{}, errors.Wrap(ErrAnnouncement, err.Error())
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Announcement{}, errors.Wrap(ErrAnnouncement, "data after the announcement")
	}
	if err := decoded.validate(); err != nil {
		return Announcement{}, err
	}
	return decoded, nil
}

// validate returns ErrAnnouncement if a field is out of range.
func (a Announcement) validate() error {
	address, err := netip.ParseAddrPort(a.Address)
	switch {
	case a.Service == "" || len(a.Service) > maxServiceNameBytes:
		return errors.Wrap(ErrAnnouncement, "service")
	case err != nil || address.Port() == 0:
		return errors.Wrap(ErrAnnouncement, "address")
	case a.Slots < 0 || a.Slots > maxTargetSlots:
		return errors.Wrap(ErrAnnouncement, "slots")
	case a.Connections < 0 || a.Connections > maxTargetSlots:
		return errors.Wrap(ErrAnnouncement, "connections")
	default:
		return nil
	}
}
