package entry

// WatchPrefix follows the keys of a prefix.
var WatchPrefix = watchPrefix
