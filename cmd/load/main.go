// Command load generates open-loop load and checks the answers.
package main

func main() {}
