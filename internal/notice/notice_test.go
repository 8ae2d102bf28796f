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
			qt.Assert(t, notice.ReadRest(http.Header{"Retry-After": {test.text}}), qt.Equals, test.want)
		})
	}
}

func TestParseLimit(t *testing.T) {
	tests := []struct {
		text      string
		want      notice.Limit
		unlimited bool
	}{
		{"4.2", notice.Limit{Named: true, Rate: 4.2}, false},
		{" 0 ", notice.Limit{Named: true}, false},
		{"1e-3", notice.Limit{Named: true, Rate: 0.001}, false},
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
			qt.Check(t, notice.BindsNobody(test.text), qt.Equals, test.unlimited)
		})
	}
}

// Of several notices the one that lasts longest applies, and Take returns true only
// when the endpoint turns unavailable.
func TestTable(t *testing.T) {
	c := qt.New(t)
	table := notice.NewTable[string](time.Minute)
	c.Assert(table.Take(1000, "e1", notice.Notice{}), qt.IsFalse)
	c.Assert(table.Closed(1000, "e1"), qt.IsFalse)
	c.Assert(table.Take(1000, "e1", notice.Notice{Rest: 3 * time.Second}), qt.IsTrue)
	c.Assert(table.Take(2000, "e1", notice.Notice{Rest: time.Second}), qt.IsFalse)
	c.Assert(table.Closed(3999, "e1"), qt.IsTrue)
	c.Assert(table.Closed(3999, "e2"), qt.IsFalse)
	c.Assert(table.Closed(4000, "e1"), qt.IsFalse)
	c.Assert(table.Take(5000, "e1", notice.Notice{Leaving: true}), qt.IsTrue)
	c.Assert(table.Take(6000, "e1", notice.Notice{Leaving: true, Rest: time.Second}), qt.IsFalse)
	c.Assert(table.Closed(65_999, "e1"), qt.IsTrue)
	c.Assert(table.All(65_999), qt.DeepEquals, []string{"e1"})
	c.Assert(table.Closed(66_000, "e1"), qt.IsFalse)
	c.Assert(table.All(66_000), qt.HasLen, 0)
}

func ExampleTable() {
	table := notice.NewTable[string](time.Minute)
	table.Take(0, "bank-1", notice.Notice{Rest: 2 * time.Second})
	fmt.Println(table.Closed(1000, "bank-1"), table.Closed(2000, "bank-1"))
	// Output: true false
}
