import { ScalarType, type DescField, type DescMessage } from '@bufbuild/protobuf';
import { WireType } from '@bufbuild/protobuf/wire';

/** What the decoder of messages expects in an encoded message. */

type MapField = Extract<DescField, { readonly fieldKind: 'map' }>;

/** A message, or an entry of a map, which is encoded like one: its key is field 1, and its value field 2. */
export type Shape = DescMessage | MapField;

/** How a field is encoded, and what is inside it. */
export interface ExpectedField {
  readonly wireType: WireType;
  readonly inner?: Shape;
}

const keyNumber = 1;
const valueNumber = 2;

/** Undefined if the shape has no such field; the decoder skips it. */
export function findField(shape: Shape, number: number): ExpectedField | undefined {
  if (shape.kind === 'message') {
    const field = shape.fields.find((each) => each.number === number);
    return field && expectField(field);
  }
  switch (number) {
    case keyNumber:
      return { wireType: findWireType(shape.mapKey) };
    case valueNumber:
      return expectMapValue(shape);
    default:
      return undefined;
  }
}

function expectField(field: DescField): ExpectedField {
  switch (field.fieldKind) {
    case 'scalar':
      return { wireType: findWireType(field.scalar) };
    case 'enum':
      return { wireType: WireType.Varint };
    case 'message':
      return { wireType: WireType.LengthDelimited, inner: field.message };
    case 'map':
      return { wireType: WireType.LengthDelimited, inner: field };
    case 'list':
      // Numbers in a list are packed into one field.
      return {
        wireType: WireType.LengthDelimited,
        ...(field.listKind === 'message' && { inner: field.message }),
      };
  }
}

function expectMapValue(field: MapField): ExpectedField {
  switch (field.mapKind) {
    case 'scalar':
      return { wireType: findWireType(field.scalar) };
    case 'enum':
      return { wireType: WireType.Varint };
    case 'message':
      return { wireType: WireType.LengthDelimited, inner: field.message };
  }
}

function findWireType(scalar: ScalarType): WireType {
  switch (scalar) {
    case ScalarType.STRING:
    case ScalarType.BYTES:
      return WireType.LengthDelimited;
    case ScalarType.DOUBLE:
    case ScalarType.FIXED64:
    case ScalarType.SFIXED64:
      return WireType.Bit64;
    case ScalarType.FLOAT:
    case ScalarType.FIXED32:
    case ScalarType.SFIXED32:
      return WireType.Bit32;
    case ScalarType.BOOL:
    case ScalarType.INT32:
    case ScalarType.INT64:
    case ScalarType.UINT32:
    case ScalarType.UINT64:
    case ScalarType.SINT32:
    case ScalarType.SINT64:
      return WireType.Varint;
  }
}
