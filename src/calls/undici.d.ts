/** The pool and its request alone: the package's main module loads several times as much code. */
declare module 'undici/lib/dispatcher/pool.js' {
  import { Pool } from 'undici';

  export default Pool;
}

declare module 'undici/lib/api/api-request.js' {
  import type { Dispatcher, Pool } from 'undici';

  export default function request(
    this: Pool,
    options: Dispatcher.RequestOptions,
  ): Promise<Dispatcher.ResponseData>;
}
