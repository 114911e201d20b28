import sys

from juniperlanding.drill.host import main

sys.exit(main())
