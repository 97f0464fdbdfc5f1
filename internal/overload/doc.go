// Package overload contains tests that start the program as a process and let crowds of clients send what fills its memory. Run them
// apart from other tests: each of them needs a few hundred MB on code that doesn't pass.
package overload
