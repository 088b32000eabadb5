package swappeer

// Answered notes that the holder of a service has answered just now.
func (c *Client) Answered(service string) { c.usage(service).setAnswered(c.Clock.Now(), false) }
