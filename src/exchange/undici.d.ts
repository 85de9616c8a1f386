/** Types of the undici modules in use; the main module loads several times as much code. */
declare module 'undici/lib/dispatcher/pool.js' {
  import { Pool } from 'undici';

  export default Pool;
}

declare module 'undici/lib/core/connect.js' {
  import { buildConnector } from 'undici';

  export default buildConnector;
}
