"""What every daemon process needs: sockets to its peers, and work that ends with it."""
