package notice_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/notice"
)

func TestReadRest(t *testing.T) {
	tests := []struct {
		text string
		want time.Duration
	}{
		{"", 0},
		{"3", 3 * time.Second},
		{"0.25", 250 * time.Millisecond},
		{"soon", 0},
		{"NaN", 0},
		{"-1", 0},
		{"1e300", 24 * time.Hour},
	}
	for _, test := range tests {
		t.Run(test.text, func(t *testing.T) {
			qt.Assert(t, notice.ParseRetryAfter(http.Header{"Retry-After": {test.text}}), qt.Equals, test.want)
		})
	}
}

func TestParseLimit(t *testing.T) {
	tests := []struct {
		text      string
		want      notice.Limit
		unlimited bool
	}{
		{"4.2", notice.Limit{Present: true, Rate: 4.2}, false},
		{" 0 ", notice.Limit{Present: true}, false},
		{"1e-3", notice.Limit{Present: true, Rate: 0.001}, false},
		{"", notice.Limit{}, false},
		{"few", notice.Limit{}, false},
		{"-1", notice.Limit{}, false},
		{"-1e400", notice.Limit{}, false},
		{"NaN", notice.Limit{}, false},
		{"1e9", notice.Limit{}, true},
		{"1e400", notice.Limit{}, true},
		{"Inf", notice.Limit{}, true},
	}
	for _, test := range tests {
		t.Run(test.text, func(t *testing.T) {
			qt.Check(t, notice.ParseLimit(test.text), qt.Equals, test.want)
			qt.Check(t, notice.IsUnlimited(test.text), qt.Equals, test.unlimited)
		})
	}
}

// Of several notices the one that lasts longest applies, and Record returns true only
// when the endpoint turns unavailable.
func TestTable(t *testing.T) {
	c := qt.New(t)
	table := notice.NewTable[string](time.Minute)
	c.Assert(table.Record(1000, "e1", notice.Notice{}), qt.IsFalse)
	c.Assert(table.Unavailable(1000, "e1"), qt.IsFalse)
	c.Assert(table.Record(1000, "e1", notice.Notice{Backoff: 3 * time.Second}), qt.IsTrue)
	c.Assert(table.Record(2000, "e1", notice.Notice{Backoff: time.Second}), qt.IsFalse)
	c.Assert(table.Unavailable(3999, "e1"), qt.IsTrue)
	c.Assert(table.Unavailable(3999, "e2"), qt.IsFalse)
	c.Assert(table.Unavailable(4000, "e1"), qt.IsFalse)
	c.Assert(table.Record(5000, "e1", notice.Notice{Leaving: true}), qt.IsTrue)
	c.Assert(table.Record(6000, "e1", notice.Notice{Leaving: true, Backoff: time.Second}), qt.IsFalse)
	c.Assert(table.Unavailable(65_999, "e1"), qt.IsTrue)
	c.Assert(table.All(65_999), qt.DeepEquals, []string{"e1"})
	c.Assert(table.Unavailable(66_000, "e1"), qt.IsFalse)
	c.Assert(table.All(66_000), qt.HasLen, 0)
}

func ExampleTable() {
	table := notice.NewTable[string](time.Minute)
	table.Record(0, "bank-1", notice.Notice{Backoff: 2 * time.Second})
	fmt.Println(table.Unavailable(1000, "bank-1"), table.Unavailable(2000, "bank-1"))
	// Output: true false
}
