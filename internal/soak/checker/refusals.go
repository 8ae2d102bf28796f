package checker

// Refused returns how many requests endpoints answered with a failure of their own after they had run them, and how
// many rejections they repeated in front of another answer.
func (c *Checker) Refused() (failed, repeated int) {
	for _, r := range c.Arrivals() {
		if r.OwnStatus != 0 {
			failed++
		}
		if r.Repeated {
			repeated++
		}
	}
	return failed, repeated
}
