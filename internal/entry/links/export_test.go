package links

// Subset and Tick export internals for the tests.
var Subset = subset

const Tick = tickInterval
