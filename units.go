package cicadapitch

// Tokens counts generated or read tokens.
type Tokens int64

// Slots counts requests that an endpoint works on at the same time.
type Slots int

// Cost is an amount in the deployment's own accounting unit.
type Cost float64

// Weight lies between 0 and 1. 0 weighs only cost by stage, 1 weighs only
// end-to-end attainment.
type Weight float64

// Share is a relative part of a capacity that customers divide among
// themselves.
type Share float64

// Bytes counts bytes.
type Bytes int64
