package engine

import (
	"context"
	"net/http"
	"net/url"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Reservation is KV memory that an engine holds for an owner until it is released.
type Reservation struct {
	ID      ReservationID          `json:"id"`
	Owner   poplarwinch.InstanceID `json:"owner"`
	Request poplarwinch.RequestID  `json:"request"`
	Tokens  poplarwinch.Tokens     `json:"tokens"`
	// Deadline is the Unix time after which other instances may reclaim the memory.
	Deadline clock.Millis `json:"deadline-ms"`
}

// Reserve reserves KV memory; it is idempotent for an id. A *RefusedError with status 507 means that the memory is full.
// After any other error the reservation may exist.
func (c *Client) Reserve(ctx context.Context, address string, r Reservation) error {
	return c.call(ctx, operation{name: "reserve", method: http.MethodPut, path: reservationPath(r.ID), send: r, fresh: true}, address)
}

// Release frees a reservation. It succeeds for an unknown one, too.
func (c *Client) Release(ctx context.Context, address string, id ReservationID) error {
	return c.call(ctx, operation{name: "release", method: http.MethodDelete, path: reservationPath(id), fresh: true}, address)
}

// Reservations lists all reservations of an engine.
func (c *Client) Reservations(ctx context.Context, address string) ([]Reservation, error) {
	var list []Reservation
	err := c.call(ctx, operation{name: "reservations", method: http.MethodGet, path: "/kv/reservations", receive: &list, fresh: true}, address)
	return list, err
}

func reservationPath(id ReservationID) string {
	return "/kv/reservations/" + url.PathEscape(string(id))
}
