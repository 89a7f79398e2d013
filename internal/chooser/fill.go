package chooser

// beyondFill reports whether a group is so full that the request must leave the rest of
// its capacity to others.
func (c *Chooser) beyondFill(cand *candidate, req Request) bool {
	return req.Fill > 0 && req.Fill < 1 && cand.grouped && float64(cand.load()) >= req.Fill*float64(c.capacity(cand, req.Urgency))
}
