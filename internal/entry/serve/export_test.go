package serve

// Faulty returns a Server whose attempts panic.
func Faulty(s *Server) *Server { return &Server{router: s.router, explain: s.explain} }
