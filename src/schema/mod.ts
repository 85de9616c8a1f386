/**
 * Types and validators of messages and table records, generated from the JSON Schemas beside this
 * file.
 */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { ErrorKind, makeFailure } from '../errors/mod.ts';
import type { Failure } from '../errors/mod.ts';

export type * from './_generated/types.ts';
export * from './_generated/settings.ts';
export * as validators from './_generated/validators.ts';

/** A validator that ajv generated. */
export interface Validator {
  (value: unknown): boolean;
  errors?: { instancePath: string; message?: string; params?: Record<string, unknown> }[] | null;
}

/**
 * Checks a value against a generated validator.
 *
 * @example
 * decode<LookupRequest>(validators.validateLookupRequest, JSON.parse(text));
 */
export function decode<T>(validator: unknown, value: unknown): Either<Failure, T> {
  const validate = validator as Validator;
  if (validate(value)) return Right(value as T);
  const problems = (validate.errors ?? []).map(({ instancePath, message, params }) => {
    const propertySuffix = params?.additionalProperty
      ? ` "${String(params.additionalProperty)}"`
      : '';
    return `${instancePath || '/'} ${message ?? 'is not valid'}${propertySuffix}`;
  });
  return Left(makeFailure(ErrorKind.MalformedRequest, problems.join('; '), { got: value }));
}
