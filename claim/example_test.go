package claim_test

import (
	"context"
	"fmt"

	"github.com/poplarwinch/poplarwinch/claim"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/emulator/memory"
)

func ExampleLedger_Begin() {
	c := memory.New().Client(func() {})
	ledger := claim.New(claim.WithTable(c.Get, c.Put), claim.WithObjects(c.GetObject, c.PutObject))
	for range 2 {
		ticket, recorded, err := ledger.Begin(context.Background(), claim.Call{
			Customer: "harbour", Key: "booking-17", Fingerprint: claim.Fingerprint("POST", "/bookings", []byte("{}")),
			Deadline: clock.System().Now() + clock.Minute,
		})
		switch {
		case err != nil:
			fmt.Println(err)
		case recorded != nil:
			fmt.Println("recorded:", recorded.Answer.Status)
		default:
			fmt.Println("send the call")
			if err := ticket.Done(context.Background(), claim.Answer{Status: 201}); err != nil {
				fmt.Println(err)
			}
		}
	}
	// Output:
	// send the call
	// recorded: 201
}
