/** The pool alone: the package's main module loads several times as much code at start. */
declare module 'undici/lib/dispatcher/pool.js' {
  import { Pool } from 'undici';

  export default Pool;
}
